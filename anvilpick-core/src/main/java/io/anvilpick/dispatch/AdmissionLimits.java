package io.anvilpick.dispatch;

import io.anvilpick.error.ErrorKind;
import io.anvilpick.time.Deadline;
import java.time.Duration;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Decides which calls are refused because no answer can arrive in time. Guarded by the dispatcher's lock.
 *
 * <p>Load pattern: more calls than the targets can answer, so that calls wait. A call whose wait would outlast its deadline, or the
 * daemon itself once that is shutting down, is refused as soon as that is known, while its caller can still go elsewhere.
 */
final class AdmissionLimits {
    private final LatencyBaselines baselines;
    private @Nullable Deadline end;

    /** The time at which the caller refused last was asked to return. */
    private @Nullable Deadline lastReturn;

    AdmissionLimits(LatencyBaselines baselines) {
        this.baselines = baselines;
    }

    /** Sets the time after which the daemon delivers no more answers. */
    void stopBy(Deadline value) {
        end = value;
    }

    /** Returns why {@code call} is not to be sent at once; empty if it may be sent. */
    Optional<ErrorKind> refusalToSend(Call call, long now) {
        if (call.deadline().remainingNanos(now) <= 0) {
            return Optional.of(ErrorKind.DEADLINE_BEFORE_SEND);
        }
        return refusalByEnd(call, now);
    }

    /**
     * Returns why {@code call}, which waits, is not to be sent any more; empty if it may still be sent.
     *
     * @param restNanos the nanoseconds until a target may be sent a call
     */
    Optional<ErrorKind> refusalOfWaiting(Call call, long restNanos, long now) {
        if (call.deadline().remainingNanos(now) < restNanos + baselines.medianNanos(call.request())) {
            return Optional.of(ErrorKind.DEADLINE_BEFORE_SEND);
        }
        return refusalByEnd(call, now);
    }

    /** Returns why {@code call} is not to wait behind {@code ahead} other calls; empty if it may wait. */
    Optional<ErrorKind> refusalToWait(Call call, double ahead, Room room, long now) {
        return refusalAfter(call, expectedWaitNanos(call, ahead, room), now);
    }

    /** Returns why {@code call}, whose answer is expected after {@code waitNanos}, is not to wait; empty if it may wait. */
    Optional<ErrorKind> refusalAfter(Call call, double waitNanos, long now) {
        if (waitNanos > call.deadline().remainingNanos(now)) {
            return Optional.of(ErrorKind.OVERLOADED);
        }
        boolean outlastsDaemon = end != null && waitNanos > end.remainingNanos(now);
        return outlastsDaemon ? Optional.of(ErrorKind.SHUTTING_DOWN) : refusalByEnd(call, now);
    }

    /**
     * Returns when the caller of a refused {@code call} should return; empty unless all targets rest. Callers return after the
     * earliest target, in the order of their refusals, and no faster than the targets answer.
     */
    Optional<Duration> retryAfter(Call call, Room room, long now) {
        if (room.restNanos() == 0) {
            return Optional.empty();
        }
        long earliest = now + room.restNanos();
        long turnNanos = baselines.medianNanos(call.request()) / Math.max(1, room.slots());
        boolean behind = lastReturn != null && lastReturn.remainingNanos(earliest) >= 0;
        lastReturn = new Deadline(behind ? lastReturn.atNanos() + turnNanos : earliest);
        return Optional.of(Duration.ofNanos(lastReturn.remainingNanos(now)));
    }

    /** Refuses a call whose answer is expected after the daemon ends. */
    private Optional<ErrorKind> refusalByEnd(Call call, long now) {
        boolean late = end != null && end.remainingNanos(now) <= lastingNanos(call, now);
        return late ? Optional.of(ErrorKind.SHUTTING_DOWN) : Optional.empty();
    }

    /**
     * Returns the nanoseconds within which {@code call}, if sent now, is expected to end: by its deadline at the latest. A call that
     * may be repeated is expected to be answered as nine in ten of its class are, another one as 98 in 100 are. A class without
     * answers is expected to meet its goal.
     */
    private long lastingNanos(Call call, long now) {
        long remainingNanos = call.deadline().remainingNanos(now);
        LatencyBaseline baseline = baselines.of(call.request());
        if (baseline.medianNanos() == 0) {
            long goalNanos = call.goal().remainingNanos(now);
            return goalNanos > 0 ? goalNanos : remainingNanos;
        }
        long workNanos = call.request().idempotent() ? baseline.hedgeDelayNanos() : baseline.tailNanos();
        return Math.min(workNanos, remainingNanos);
    }

    /**
     * Returns the expected nanoseconds until the answer to a call with {@code ahead} calls before it, from the baseline. The wait
     * in the queue does not count until there are enough answers to predict it.
     */
    private double expectedWaitNanos(Call call, double ahead, Room room) {
        LatencyBaseline baseline = baselines.of(call.request());
        double turns = baseline.hasManySamples() ? ahead / Math.max(1, room.slots()) : 0;
        return room.restNanos() + baseline.medianNanos() * (turns + 1);
    }
}
