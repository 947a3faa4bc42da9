package io.anvilpick.fleet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import io.anvilpick.dispatch.TargetTraits;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SequencedMap;

/**
 * What is known of targets when the store returns from an older copy, by which outdated entries of the copy are recognized. Made
 * for 1,000 targets. Not thread safe.
 */
final class KeptAcrossEras {
    /** Time for which a removed target is remembered. It is twice the age of the oldest copy that is expected, 30 s. */
    static final Duration REMOVED_KEPT = Duration.ofSeconds(60);

    /** Removed targets that are remembered. Any client of the store may register and remove more of them. */
    static final int MAX_REMOVED = 4_000;

    private final TimeSource time;

    /** Targets removed lately, by id, in the order of their removal. */
    private final SequencedMap<String, Removed> removed = new LinkedHashMap<>();

    /** Targets known when the era changed, by id. */
    private final Map<String, Known> known = new HashMap<>();

    /** Of the targets registered when the era changed, the latest one at each address. */
    private final Map<String, RegisteredTarget> byAddress = new HashMap<>();

    /** Entries of the store that do not take effect yet, by id. */
    private final SequencedMap<String, RegisteredTarget> heldBack = new LinkedHashMap<>();

    private boolean active;

    private record Removed(RegisteredTarget target, Deadline forgetAt) {}

    private record Known(RegisteredTarget target, boolean removed) {
        private boolean outdates(RegisteredTarget entry) {
            if (startedAfter(entry, target)) {
                return false;
            }
            if (startedAfter(target, entry)) {
                return true;
            }
            boolean endsCalls = removed || target.config().leaving();
            return endsCalls && !entry.config().leaving();
        }
    }

    KeptAcrossEras(TimeSource time) {
        this.time = time;
    }

    /** Records that {@code target} was removed. */
    void recordRemoval(RegisteredTarget target) {
        removed.putLast(target.id(), new Removed(target, Deadline.after(time, REMOVED_KEPT)));
        forgetOldRemovals();
    }

    /** Starts a new era, in which {@code registered} are the targets known from the one before. */
    void begin(Iterable<RegisteredTarget> registered) {
        forgetOldRemovals();
        known.clear();
        byAddress.clear();
        heldBack.clear();
        removed.forEach((id, removal) -> known.put(id, new Known(removal.target(), true)));
        for (RegisteredTarget target : registered) {
            known.put(target.id(), new Known(target, false));
            byAddress.merge(target.config().address(), target, (one, other) -> startedAfter(one, other) ? one : other);
        }
        active = true;
    }

    /**
     * Returns whether {@code entry} is outdated by what was known when the era changed and does not take effect before {@link #end}.
     */
    boolean holdsBack(RegisteredTarget entry) {
        if (active && isOutdated(entry)) {
            heldBack.putLast(entry.id(), entry);
            return true;
        }
        heldBack.remove(entry.id());
        removed.remove(entry.id());
        return false;
    }

    /** Records that the registration of {@code id} was deleted in the present era, so that a later one is new. */
    void forget(String id) {
        heldBack.remove(id);
        known.remove(id);
        byAddress.values().removeIf(target -> target.id().equals(id));
    }

    /** Returns whether entries may be held back. */
    boolean isActive() {
        return active;
    }

    /** Ends the comparison with the previous era and returns the entries held back. */
    ImmutableList<RegisteredTarget> end() {
        ImmutableList<RegisteredTarget> released = ImmutableList.copyOf(heldBack.values());
        heldBack.clear();
        known.clear();
        byAddress.clear();
        active = false;
        return released;
    }

    private boolean isOutdated(RegisteredTarget entry) {
        Known before = known.get(entry.id());
        if (before != null && before.outdates(entry)) {
            return true;
        }
        RegisteredTarget atAddress = byAddress.get(entry.config().address());
        return atAddress != null && !atAddress.id().equals(entry.id()) && !startedAfter(entry, atAddress);
    }

    /** Returns whether both start times are known and that of {@code one} is later. */
    private static boolean startedAfter(RegisteredTarget one, RegisteredTarget other) {
        long otherBorn = other.traits().bornMillis();
        return otherBorn != TargetTraits.UNKNOWN_START && one.traits().bornMillis() > otherBorn;
    }

    private void forgetOldRemovals() {
        while (!removed.isEmpty() && isOld(Iterables.get(removed.values(), 0))) {
            removed.pollFirstEntry();
        }
    }

    private boolean isOld(Removed first) {
        return removed.size() > MAX_REMOVED || first.forgetAt().hasPassed(time);
    }
}
