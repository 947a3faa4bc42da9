package io.anvilpick.dispatch;

import io.anvilpick.config.RequestConfig;

/** What the end of a call tells of its target and of its class of requests. Not thread safe. */
final class CallOutcomes {
    private final TargetSet targets;
    private final Baselines baselines;

    CallOutcomes(TargetSet targets, Baselines baselines) {
        this.targets = targets;
        this.baselines = baselines;
    }

    /** Notes how {@code assignment}, which ran at {@code target}, ended at {@code now}. */
    void note(TargetState target, Assignment assignment, CallResult result, long now) {
        long elapsed = now - assignment.startedNanos();
        long before = baselines.medianNanos(assignment.call().request());
        switch (result) {
            case CallResult.Answered answered -> noteAnswered(target, assignment, answered, now);
            case CallResult.Shed shed -> {
                target.onShed();
                target.onFailure(now, false, targets.mayEjectMore());
                if (shed.leaving()) {
                    target.onDraining(now);
                }
            }
            case CallResult.ConnectFailed ignored -> target.onFailure(now, true, true);
            case CallResult.Lost ignored -> target.onFailure(now, true, true);
            case CallResult.TimedOut ignored -> target.onSilence(now, elapsed, before);
            case CallResult.Cancelled ignored -> target.onSilence(now, elapsed, before);
        }
    }

    private void noteAnswered(TargetState target, Assignment assignment, CallResult.Answered answered, long now) {
        if (answered.failed()) {
            answered.load().ifPresent(report -> target.onReport(now, report));
            target.onFailure(now, false, targets.mayEjectMore());
        } else {
            noteSuccess(target, assignment, answered, now);
        }
        if (answered.leaving()) {
            target.onDraining(now);
        }
    }

    private void noteSuccess(TargetState target, Assignment assignment, CallResult.Answered answered, long now) {
        RequestConfig request = assignment.call().request();
        long elapsed = now - assignment.startedNanos();
        long before = baselines.medianNanos(request);
        baselines.of(request).add(elapsed);
        if (before > 0) {
            targets.learn(target, assignment, (double) elapsed / before);
        }
        target.onAnswer(now, elapsed, before, answered.load());
    }
}
