package io.anvilpick.dispatch;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Calls that wait for a slot: those that can still meet their goal, and behind them those that will miss it, so that under
 * overload lateness does not spread. Guarded by the dispatcher's lock.
 */
final class HeldCalls {
    private final WaitingCalls inTime = new WaitingCalls();
    private final WaitingCalls late = new WaitingCalls();

    /** What decides about a waiting call. */
    interface Judge {
        /** Returns whether no answer can come before the call's deadline. */
        boolean isTooLate(Call call);

        /** Returns whether the call will miss its goal. */
        boolean missesGoal(Call call);

        /** Returns the weight of the call's tenant. */
        int weightOf(Call call);

        /** Assigns the call to a target if one is good enough for it, given how many calls wait. */
        @Nullable
        Assignment tryAssign(Call call, int queued);
    }

    int size() {
        return inTime.size() + late.size();
    }

    /** Returns the calls that go before another one of {@code tenant}. */
    double aheadOf(String tenant, int weight) {
        return inTime.aheadOf(tenant, weight);
    }

    void add(Call call, int weight) {
        inTime.add(call, weight);
    }

    /** Removes {@code call}; returns false if it does not wait here. */
    boolean remove(Call call) {
        return inTime.remove(call) || late.remove(call);
    }

    /** Takes out the calls that may go now and those whose time is over. */
    DispatchResult drain(Judge judge) {
        ImmutableList.Builder<Assignment> assigned = ImmutableList.builder();
        ImmutableList.Builder<Call> expired = ImmutableList.builder();
        drain(inTime, judge, assigned, expired);
        if (inTime.size() == 0) {
            drain(late, judge, assigned, expired);
        }
        return new DispatchResult(assigned.build(), expired.build());
    }

    private void drain(
            WaitingCalls queue,
            Judge judge,
            ImmutableList.Builder<Assignment> assigned,
            ImmutableList.Builder<Call> expired) {
        while (true) {
            Optional<Call> next = queue.next();
            if (next.isEmpty()) {
                return;
            }
            Call call = next.get();
            if (judge.isTooLate(call)) {
                queue.take(call);
                expired.add(call);
                continue;
            }
            if (queue == inTime && judge.missesGoal(call)) {
                queue.take(call);
                late.add(call, judge.weightOf(call));
                continue;
            }
            Assignment assignment = judge.tryAssign(call, queue.size());
            if (assignment == null) {
                return;
            }
            queue.take(call);
            assigned.add(assignment);
        }
    }
}
