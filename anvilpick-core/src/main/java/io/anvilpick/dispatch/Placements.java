package io.anvilpick.dispatch;

import java.util.Set;
import java.util.function.ToIntFunction;
import org.jspecify.annotations.Nullable;

/** Creates the assignments of calls to targets, which it numbers. Guarded by the dispatcher's lock. */
final class Placements {
    private final TargetSet targets;
    private final LatencyBaselines baselines;
    private long nextAssignmentId;

    Placements(TargetSet targets, LatencyBaselines baselines) {
        this.targets = targets;
        this.baselines = baselines;
    }

    /** Assigns {@code call} to {@code target} and counts it there. */
    Assignment assign(Call call, TargetState target, long now) {
        long baselineNanos = baselines.medianNanos(call.request());
        Assignment assignment = new Assignment(
                nextAssignmentId++,
                call,
                target.config(),
                now,
                target.expectedSlowdown(now, baselineNanos),
                target.occupancy(now));
        target.start(assignment, baselineNanos);
        targets.recordAssigned(target, now);
        return assignment;
    }

    /**
     * Returns the properties of {@code call} for which a target is to be picked.
     *
     * @param queued the number of calls at its level of the queue, including itself; zero if it is not queued
     */
    TargetPicker.PickRequest pickRequest(Call call, long now, int queued) {
        long baselineNanos = baselines.medianNanos(call.request());
        return new TargetPicker.PickRequest(call.id(), now, call.goal(), baselineNanos, queued);
    }

    /**
     * Returns the choice of targets for waiting calls.
     *
     * @param weights returns the weight of a call's tenant
     * @param waiting the number of waiting calls
     */
    WaitingCalls.Placement forWaiting(ToIntFunction<Call> weights, int waiting, long now) {
        return new WaitingCalls.Placement() {
            @Override
            public int weightOf(Call call) {
                return weights.applyAsInt(call);
            }

            @Override
            public boolean hasRoomFor(Call call, Set<String> failed) {
                return targets.pickAgain(pickRequest(call, now, waiting + 1), failed) != null;
            }

            @Override
            public @Nullable Assignment tryAssign(Call call, int queued, Set<String> failed) {
                TargetState target = targets.pickAgain(pickRequest(call, now, queued), failed);
                return target == null ? null : assign(call, target, now);
            }
        };
    }
}
