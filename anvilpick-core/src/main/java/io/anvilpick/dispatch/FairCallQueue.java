package io.anvilpick.dispatch;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * A queue of calls that is fair among tenants according to their weights. Guarded by the dispatcher's lock.
 *
 * <p>Implements start-time fair queueing: each call dequeued advances its tenant's start tag by {@code 1 / weight}, and
 * the tenant with the smallest start tag comes next. Within a tenant, the more urgent request class comes first, then
 * the earlier deadline. Adding and removing take O(tenants + log calls) time.
 *
 * <p>A tenant without calls is kept only while its start tag is ahead of the virtual time, and at most {@value #MAX_IDLE_TENANTS}
 * of these are kept.
 */
final class FairCallQueue {
    private static final Comparator<Call> ORDER = Comparator.<Call>comparingInt(
                    call -> call.request().priority())
            .thenComparing(call -> call.deadline().atNanos(), FairCallQueue::compareNanos)
            .thenComparingLong(Call::id);

    /** Bounds the memory of a queue whose virtual time stands still because each of its calls is of a new tenant. */
    private static final int MAX_IDLE_TENANTS = 1_024;

    private final Map<String, TenantQueue> queues = new HashMap<>();

    /** The tenants that became idle, by the start tag that they had then. Some of them may have calls again. */
    private final PriorityQueue<IdleTenant> idle =
            new PriorityQueue<>(Comparator.comparingDouble(IdleTenant::startTag));

    private double virtualTime;
    private int size;

    /** The queued calls of one tenant. */
    private static final class TenantQueue {
        private final TreeSet<Call> calls = new TreeSet<>(ORDER);
        private final int weight;
        private double startTag;

        private TenantQueue(int weight, double startTag) {
            this.weight = weight;
            this.startTag = startTag;
        }
    }

    private record IdleTenant(String tenant, double startTag) {}

    int size() {
        return size;
    }

    /** Returns whether the queue has no calls and no tenant has used more than its share. */
    boolean isUnused() {
        return queues.isEmpty();
    }

    /** Returns the number of tenants that have calls or are kept because of what they have had. */
    int knownTenants() {
        return queues.size();
    }

    /** Adds the tenants whose calls wait to {@code tenants}. */
    void addWaitingTenants(Set<String> tenants) {
        for (Map.Entry<String, TenantQueue> entry : queues.entrySet()) {
            if (!entry.getValue().calls.isEmpty()) {
                tenants.add(entry.getKey());
            }
        }
    }

    /**
     * Returns the estimated number of calls that would precede another call of {@code tenant}, assuming that the other
     * tenants use their shares.
     */
    double callsAhead(String tenant, int weight) {
        TenantQueue own = queues.get(tenant);
        return callsAhead(tenant, own == null ? 0 : own.calls.size(), weight);
    }

    /**
     * Returns the estimated number of calls that would precede {@code call}, assuming that the other tenants use their shares. Of
     * its own tenant, only the calls that come before it count.
     */
    double callsAhead(Call call, int weight) {
        TenantQueue own = queues.get(call.tenant());
        return callsAhead(
                call.tenant(), own == null ? 0 : own.calls.headSet(call).size(), weight);
    }

    private double callsAhead(String tenant, int ownAhead, int weight) {
        double ahead = ownAhead;
        for (Map.Entry<String, TenantQueue> entry : queues.entrySet()) {
            if (entry.getKey().equals(tenant)) {
                continue;
            }
            TenantQueue other = entry.getValue();
            double share = (double) (ownAhead + 1) * other.weight / weight;
            ahead += Math.min(other.calls.size(), share);
        }
        return ahead;
    }

    void add(Call call, int weight) {
        TenantQueue queue = queues.computeIfAbsent(call.tenant(), tenant -> new TenantQueue(weight, virtualTime));
        if (queue.calls.isEmpty()) {
            queue.startTag = Math.max(queue.startTag, virtualTime);
        }
        if (queue.calls.add(call)) {
            size++;
        }
    }

    /** Removes {@code call}; returns false if it is not in the queue. */
    boolean remove(Call call) {
        TenantQueue queue = queues.get(call.tenant());
        if (queue == null || !queue.calls.remove(call)) {
            return false;
        }
        size--;
        removeIfEmpty(call.tenant(), queue);
        return true;
    }

    /** Returns the next call without removing it; empty if the queue is empty. */
    Optional<Call> peek() {
        TenantQueue queue = earliestQueue();
        return queue == null ? Optional.empty() : Optional.of(queue.calls.first());
    }

    /** Returns the next call of {@code tenant} without removing it; empty if none waits. */
    Optional<Call> peek(String tenant) {
        TenantQueue queue = queues.get(tenant);
        return queue == null || queue.calls.isEmpty() ? Optional.empty() : Optional.of(queue.calls.first());
    }

    /** Returns all calls: one of each tenant in turn, and those of a tenant in their order. */
    ImmutableList<Call> inOrder() {
        List<Iterator<Call>> tenants = new ArrayList<>();
        queues.values().forEach(queue -> tenants.add(queue.calls.iterator()));
        ImmutableList.Builder<Call> calls = ImmutableList.builderWithExpectedSize(size);
        while (!tenants.isEmpty()) {
            tenants.removeIf(tenant -> !tenant.hasNext());
            tenants.forEach(tenant -> calls.add(tenant.next()));
        }
        return calls.build();
    }

    /** Removes {@code call}, which {@link #peek} returned, and charges it to its tenant. */
    void dequeue(Call call) {
        TenantQueue queue = queues.get(call.tenant());
        if (queue == null) {
            return;
        }
        virtualTime = Math.max(virtualTime, queue.startTag);
        queue.startTag += 1.0 / queue.weight;
        boolean ignored = remove(call);
        removeIdle();
    }

    private @Nullable TenantQueue earliestQueue() {
        TenantQueue earliest = null;
        for (TenantQueue queue : queues.values()) {
            if (queue.calls.isEmpty()) {
                continue;
            }
            if (earliest == null || queue.startTag < earliest.startTag) {
                earliest = queue;
            }
        }
        return earliest;
    }

    /**
     * Removes an empty tenant queue, unless the tenant has used more than its share. Keeping such a queue ensures that
     * a tenant gains nothing by running empty and queueing calls again.
     */
    private void removeIfEmpty(String tenant, TenantQueue queue) {
        if (!queue.calls.isEmpty()) {
            return;
        }
        if (queue.startTag <= virtualTime) {
            queues.remove(tenant);
            return;
        }
        idle.add(new IdleTenant(tenant, queue.startTag));
    }

    /** Removes the tenants without calls that the virtual time has caught up with, and the earliest of too many. */
    private void removeIdle() {
        while (!idle.isEmpty()) {
            IdleTenant first = idle.element();
            if (first.startTag() > virtualTime && idle.size() <= MAX_IDLE_TENANTS) {
                return;
            }
            idle.remove();
            TenantQueue queue = queues.get(first.tenant());
            if (queue != null && queue.calls.isEmpty() && queue.startTag <= first.startTag()) {
                queues.remove(first.tenant());
            }
        }
    }

    private static int compareNanos(long a, long b) {
        return Long.signum(a - b);
    }
}
