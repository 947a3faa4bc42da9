package io.anvilpick.dispatch;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Calls in levels of urgency, fair among tenants within each level. Guarded by the dispatcher's lock.
 *
 * <p>Load pattern: a few dozen levels, a few hundred calls. A level that is empty is kept only while a tenant has used more than its
 * share of it.
 */
final class UrgencyQueue {
    private final CallOrder order;
    private final TreeMap<Integer, FairCallQueue> levels = new TreeMap<>();
    private int size;

    UrgencyQueue(CallOrder order) {
        this.order = order;
    }

    int size() {
        return size;
    }

    /** Returns the estimated number of calls that would precede {@code call}. */
    double callsAhead(Call call, int weight) {
        int level = order.levelOf(call);
        double ahead = 0;
        for (FairCallQueue moreUrgent : levels.headMap(level).values()) {
            ahead += moreUrgent.size();
        }
        FairCallQueue own = levels.get(level);
        if (own == null) {
            return ahead;
        }
        return switch (order) {
            case CallOrder.TenantsFirst ignored -> ahead + own.callsAhead(call.tenant(), weight);
            case CallOrder.UrgencyFirst ignored -> ahead + own.callsAhead(call, weight);
        };
    }

    void add(Call call, int weight) {
        FairCallQueue level = levels.computeIfAbsent(order.levelOf(call), ignored -> new FairCallQueue());
        int before = level.size();
        level.add(call, weight);
        size += level.size() - before;
    }

    /** Removes {@code call}; returns false if it is not in the queue. */
    boolean remove(Call call) {
        FairCallQueue level = levels.get(order.levelOf(call));
        if (level == null || !level.remove(call)) {
            return false;
        }
        size--;
        removeIfUnused(call, level);
        return true;
    }

    /** Removes {@code call}, which {@link #peek} returned, and charges it to its tenant. */
    void dequeue(Call call) {
        FairCallQueue level = levels.get(order.levelOf(call));
        if (level == null) {
            return;
        }
        int before = level.size();
        level.dequeue(call);
        size += level.size() - before;
        removeIfUnused(call, level);
    }

    /** Returns the next call without removing it; empty if the queue is empty. */
    Optional<Call> peek() {
        for (FairCallQueue level : levels.values()) {
            if (level.size() > 0) {
                return level.peek();
            }
        }
        return Optional.empty();
    }

    /** Returns the next call of {@code tenant} without removing it; empty if none waits. */
    Optional<Call> peek(String tenant) {
        for (FairCallQueue level : levels.values()) {
            Optional<Call> call = level.peek(tenant);
            if (call.isPresent()) {
                return call;
            }
        }
        return Optional.empty();
    }

    /** Returns the tenants whose calls wait. */
    Set<String> tenants() {
        Set<String> tenants = new TreeSet<>();
        levels.values().forEach(level -> level.addWaitingTenants(tenants));
        return tenants;
    }

    /** Returns all calls by level, and in each level one of each tenant in turn. */
    ImmutableList<Call> inOrder() {
        ImmutableList.Builder<Call> calls = ImmutableList.builderWithExpectedSize(size);
        levels.values().forEach(level -> calls.addAll(level.inOrder()));
        return calls.build();
    }

    private void removeIfUnused(Call call, FairCallQueue level) {
        if (level.isUnused()) {
            levels.remove(order.levelOf(call));
        }
    }
}
