package io.anvilpick.dispatch;

import io.anvilpick.config.RequestConfig;

/** Updates target states and latency baselines with the outcomes of calls. Not thread safe. */
final class OutcomeRecorder {
    private final TargetSet targets;
    private final LatencyBaselines baselines;
    private final ZoneSpill spill;

    OutcomeRecorder(TargetSet targets, LatencyBaselines baselines, ZoneSpill spill) {
        this.spill = spill;
        this.targets = targets;
        this.baselines = baselines;
    }

    /** Records that {@code assignment} to {@code target} ended with {@code result} at {@code now}. */
    void recordOutcome(TargetState target, Assignment assignment, CallResult result, long now) {
        long elapsed = now - assignment.startedNanos();
        long baselineNanos = baselines.medianNanos(assignment.call().request());
        if (result instanceof CallResult.Answered answered) {
            answered.load().ifPresent(report -> spill.onReport(target, report, now));
        }
        switch (result) {
            case CallResult.Answered answered -> recordAnswered(target, assignment, answered, now);
            case CallResult.Shed shed -> recordShed(target, shed.notice(), now);
            case CallResult.ConnectFailed ignored -> target.onConnectionFailure(now, targets.mayEjectMore());
            case CallResult.Expired ignored -> {}
            case CallResult.Lost ignored -> target.onConnectionFailure(now, targets.mayEjectMore());
            case CallResult.TimedOut ignored -> target.onUnanswered(now, elapsed, baselineNanos);
            case CallResult.Cancelled ignored -> target.onUnanswered(now, elapsed, baselineNanos);
        }
    }

    /** Records a rejection. One that asks for rest is due to missing room, which is no failure of the target. */
    private void recordShed(TargetState target, TargetNotice notice, long now) {
        target.onShed();
        spill.onRejection(target, now);
        if (!(notice instanceof TargetNotice.Rest)) {
            target.onFailure(now, false, targets.mayEjectMore());
        }
        targets.recordNotice(target, notice, now);
    }

    private void recordAnswered(TargetState target, Assignment assignment, CallResult.Answered answered, long now) {
        if (!answered.failed()) {
            recordSuccess(target, assignment, answered, now);
        } else {
            answered.load().ifPresent(report -> target.onReport(now, report));
            if (!(answered.notice() instanceof TargetNotice.Rest)) {
                target.onFailure(now, false, targets.mayEjectMore());
            }
        }
        targets.recordNotice(target, answered.notice(), now);
    }

    private void recordSuccess(TargetState target, Assignment assignment, CallResult.Answered answered, long now) {
        RequestConfig request = assignment.call().request();
        long elapsed = now - assignment.startedNanos();
        long baselineNanos = baselines.medianNanos(request);
        baselines.of(request).add(elapsed);
        if (baselineNanos > 0) {
            targets.recordNearFullSample(target, assignment, (double) elapsed / baselineNanos);
        }
        target.onAnswer(now, elapsed, baselineNanos, answered.load());
    }
}
