package io.anvilpick.dispatch;

import com.google.common.collect.ImmutableList;
import io.anvilpick.error.ErrorKind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * A two-level queue of the calls that wait for a slot. Guarded by the dispatcher's lock.
 *
 * <p>Calls that can still meet their goal precede those that will miss it. Under overload, late calls therefore do not
 * make further calls late.
 */
final class CallQueue {
    private final UrgencyQueue inTime;
    private final UrgencyQueue late;

    /** The ids of the targets that have failed a queued call, by its id. Absent for a call that none has failed. */
    private final Map<Long, Set<String>> failedTargets = new HashMap<>();

    /** The decisions on queued calls during {@link #drain}. */
    interface DrainPolicy {
        /** Returns why the call can no longer be answered in time; empty if it can. */
        Optional<ErrorKind> refusalOf(Call call);

        /** Returns whether the call will miss its goal. */
        boolean willMissGoal(Call call);

        /** Returns the tenant, of those {@code waiting}, whose call goes next out of turn; empty if none does. */
        Optional<String> tenantOutOfTurn(Supplier<Set<String>> waiting);

        /** Returns the weight of the call's tenant. */
        int weightOf(Call call);

        /**
         * Assigns the call to a target; returns null if no target is good enough, given {@code queued} calls at its
         * level of the queue, including itself, and the ids of the targets that have {@code failed} it.
         */
        @Nullable
        Assignment tryAssign(Call call, int queued, Set<String> failed);
    }

    CallQueue(CallOrder order) {
        this.inTime = new UrgencyQueue(order);
        this.late = new UrgencyQueue(order);
    }

    int size() {
        return inTime.size() + late.size();
    }

    /** Returns the number of calls that can still meet their goal. */
    int sizeInTime() {
        return inTime.size();
    }

    /** Returns the estimated number of calls that would precede {@code call} while it can meet its goal. */
    double callsAhead(Call call, int weight) {
        return inTime.callsAhead(call, weight);
    }

    /** Returns the estimated number of calls that would precede {@code call} if it missed its goal. */
    double callsAheadOfLate(Call call, int weight) {
        return inTime.size() + late.callsAhead(call, weight);
    }

    /** Returns the tenants whose calls wait. */
    Set<String> tenants() {
        Set<String> tenants = inTime.tenants();
        tenants.addAll(late.tenants());
        return tenants;
    }

    /**
     * Adds a call.
     *
     * @param failed the ids of the targets that have failed the call
     */
    void add(Call call, int weight, Set<String> failed) {
        inTime.add(call, weight);
        if (!failed.isEmpty()) {
            failedTargets.put(call.id(), Set.copyOf(failed));
        }
    }

    /** Removes {@code call}; returns false if it is not in the queue. */
    boolean remove(Call call) {
        failedTargets.remove(call.id());
        return inTime.remove(call) || late.remove(call);
    }

    /** Decides whether a queued call may go on waiting. */
    @FunctionalInterface
    interface WaitPolicy {
        /** Returns why the call is not to wait behind {@code ahead} others; empty if it may wait. */
        Optional<ErrorKind> refusalBehind(Call call, int ahead);
    }

    /** Examines all calls in the order in which they would leave the queue, and removes and returns those refused. */
    ImmutableList<DispatchResult.Refusal> refuse(WaitPolicy policy) {
        List<Call> waiting = new ArrayList<>();
        waiting.addAll(inTime.inOrder());
        waiting.addAll(late.inOrder());
        ImmutableList.Builder<DispatchResult.Refusal> refused = ImmutableList.builder();
        int ahead = 0;
        for (Call call : waiting) {
            Optional<ErrorKind> refusal = policy.refusalBehind(call, ahead);
            if (refusal.isEmpty()) {
                ahead++;
                continue;
            }
            boolean ignored = remove(call);
            refused.add(new DispatchResult.Refusal(call, refusal.get()));
        }
        return refused.build();
    }

    /**
     * Removes and returns the calls that can be assigned now and those that can no longer be answered in time. Stops at
     * the first call of a level that must wait; calls behind it are not examined.
     */
    DispatchResult drain(DrainPolicy policy) {
        ImmutableList.Builder<Assignment> assigned = ImmutableList.builder();
        ImmutableList.Builder<DispatchResult.Refusal> refused = ImmutableList.builder();
        drainOutOfTurn(policy, assigned);
        drain(inTime, policy, assigned, refused);
        if (inTime.size() == 0) {
            drain(late, policy, assigned, refused);
        }
        return new DispatchResult(assigned.build(), refused.build());
    }

    /** Assigns the call of a tenant that goes next out of turn. If it can't be assigned, the turn is kept for the next pass. */
    private void drainOutOfTurn(DrainPolicy policy, ImmutableList.Builder<Assignment> assigned) {
        Optional<String> tenant = policy.tenantOutOfTurn(this::tenants);
        if (tenant.isEmpty()) {
            return;
        }
        Optional<Call> first = inTime.peek(tenant.get());
        UrgencyQueue queue = first.isPresent() ? inTime : late;
        Optional<Call> next = first.isPresent() ? first : late.peek(tenant.get());
        if (next.isEmpty() || policy.refusalOf(next.get()).isPresent()) {
            return;
        }
        Call call = next.get();
        Assignment assignment = policy.tryAssign(call, queue.size(), failedTargets.getOrDefault(call.id(), Set.of()));
        if (assignment == null) {
            return;
        }
        queue.dequeue(call);
        failedTargets.remove(call.id());
        assigned.add(assignment);
    }

    private void drain(
            UrgencyQueue queue,
            DrainPolicy policy,
            ImmutableList.Builder<Assignment> assigned,
            ImmutableList.Builder<DispatchResult.Refusal> refused) {
        while (true) {
            Optional<Call> next = queue.peek();
            if (next.isEmpty()) {
                return;
            }
            Call call = next.get();
            Optional<ErrorKind> refusal = policy.refusalOf(call);
            if (refusal.isPresent()) {
                queue.dequeue(call);
                failedTargets.remove(call.id());
                refused.add(new DispatchResult.Refusal(call, refusal.get()));
                continue;
            }
            if (queue == inTime && policy.willMissGoal(call)) {
                queue.dequeue(call);
                late.add(call, policy.weightOf(call));
                continue;
            }
            Set<String> failed = failedTargets.getOrDefault(call.id(), Set.of());
            Assignment assignment = policy.tryAssign(call, queue.size(), failed);
            if (assignment == null) {
                return;
            }
            queue.dequeue(call);
            failedTargets.remove(call.id());
            assigned.add(assignment);
            drainOutOfTurn(policy, assigned);
        }
    }
}
