package io.anvilpick.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * Calls that wait for a slot, shared fairly among tenants by weight; within a tenant the more urgent class goes first,
 * then the earlier deadline. Guarded by the dispatcher's lock.
 *
 * <p>Start-time fair queueing: a tenant's virtual time moves by {@code 1 / weight} with each call taken, and the tenant
 * with the least virtual time goes next. Taking and adding cost O(tenants + log calls).
 */
final class WaitingCalls {
    private static final Comparator<Call> ORDER = Comparator.<Call>comparingInt(
                    call -> call.request().priority())
            .thenComparing(call -> call.deadline().atNanos(), WaitingCalls::compareNanos)
            .thenComparingLong(Call::id);

    private final Map<String, TenantQueue> queues = new HashMap<>();
    private double virtualTime;
    private int size;

    /** Calls of one tenant. */
    private static final class TenantQueue {
        private final TreeSet<Call> calls = new TreeSet<>(ORDER);
        private final int weight;
        private double nextAt;

        private TenantQueue(int weight, double nextAt) {
            this.weight = weight;
            this.nextAt = nextAt;
        }
    }

    int size() {
        return size;
    }

    /** Returns the calls that go before another one of {@code tenant}, given that others take their share in turn. */
    double aheadOf(String tenant, int weight) {
        TenantQueue own = queues.get(tenant);
        int ownWaiting = own == null ? 0 : own.calls.size();
        double ahead = ownWaiting;
        for (Map.Entry<String, TenantQueue> entry : queues.entrySet()) {
            if (entry.getKey().equals(tenant)) {
                continue;
            }
            TenantQueue other = entry.getValue();
            double share = (double) (ownWaiting + 1) * other.weight / weight;
            ahead += Math.min(other.calls.size(), share);
        }
        return ahead;
    }

    void add(Call call, int weight) {
        TenantQueue queue = queues.computeIfAbsent(call.tenant(), tenant -> new TenantQueue(weight, virtualTime));
        if (queue.calls.isEmpty()) {
            queue.nextAt = Math.max(queue.nextAt, virtualTime);
        }
        if (queue.calls.add(call)) {
            size++;
        }
    }

    /** Removes {@code call}; returns false if it does not wait here. */
    boolean remove(Call call) {
        TenantQueue queue = queues.get(call.tenant());
        if (queue == null || !queue.calls.remove(call)) {
            return false;
        }
        size--;
        dropIfEmpty(call.tenant(), queue);
        return true;
    }

    /** Returns the call that goes next without taking it. */
    Optional<Call> next() {
        TenantQueue queue = nextQueue();
        return queue == null ? Optional.empty() : Optional.of(queue.calls.first());
    }

    /** Takes {@code call}, which {@link #next} returned. */
    void take(Call call) {
        TenantQueue queue = queues.get(call.tenant());
        if (queue == null) {
            return;
        }
        virtualTime = Math.max(virtualTime, queue.nextAt);
        queue.nextAt += 1.0 / queue.weight;
        boolean ignored = remove(call);
    }

    private @Nullable TenantQueue nextQueue() {
        TenantQueue least = null;
        for (TenantQueue queue : queues.values()) {
            if (queue.calls.isEmpty()) {
                continue;
            }
            if (least == null || queue.nextAt < least.nextAt) {
                least = queue;
            }
        }
        return least;
    }

    /** An empty queue is kept while it has taken more than its share, so that leaving and returning gains nothing. */
    private void dropIfEmpty(String tenant, TenantQueue queue) {
        if (queue.calls.isEmpty() && queue.nextAt <= virtualTime) {
            queues.remove(tenant);
        }
    }

    private static int compareNanos(long a, long b) {
        return Long.signum(a - b);
    }
}
