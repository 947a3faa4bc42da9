package io.anvilpick.dispatch;

import io.anvilpick.time.Deadline;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * The cold targets of a service, and when this daemon may send to them. Guarded by the dispatcher's lock.
 *
 * <p>Load pattern: all targets of a zone become cold at once while the calls continue, at many daemons that do not know of each
 * other's calls. A cold target crashes at a rate well above what it bears, so one daemon alone sends to it.
 *
 * <p>Without {@link ColdTargetRules}, no target counts as cold.
 */
final class ColdTargets {
    /** Minimum time between two checks of the same target. Sixty daemons that check it send 30 probes a second. */
    private static final long TARGET_CHECK_INTERVAL_NANOS = 2_000_000_000L;

    /** Minimum time between two checks of any targets. A call that triggers a check waits for its reply. */
    private static final long CHECK_INTERVAL_NANOS = 100_000_000L;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<String, Entry> entries = new HashMap<>();
    private @Nullable ColdTargetRules rules;
    private @Nullable Deadline nextCheck;

    /** What is known of one start of a target. */
    private static final class Entry {
        private final String address;
        private final long bornMillis;
        private Deadline registeredWarmAt;
        private Deadline warmAt;
        private Deadline nextCheck;

        /** The time from which the next call may be sent; null while another daemon owns the target. */
        private @Nullable Deadline nextCall;

        private Entry(TargetState target, Deadline registeredWarmAt, long now) {
            this.address = target.config().address();
            this.bornMillis = target.bornMillis();
            this.registeredWarmAt = registeredWarmAt;
            this.warmAt = registeredWarmAt;
            this.nextCheck = new Deadline(now);
        }

        private boolean isOf(TargetState target) {
            return address.equals(target.config().address()) && bornMillis == target.bornMillis();
        }

        private void extend(Deadline end) {
            warmAt = end.remainingNanos(warmAt.atNanos()) > 0 ? end : warmAt;
        }
    }

    /**
     * Sets the rules for {@code targets}. The permission to send to a target that is owned from now on is due after the interval of
     * its rate, so that neither a restart nor a change of owner brings an extra call.
     */
    void setRules(Optional<ColdTargetRules> changed, Map<String, TargetState> targets, long now) {
        rules = changed.orElse(null);
        register(targets, now);
    }

    /** Registers {@code targets}, and forgets all others. */
    void register(Map<String, TargetState> targets, long now) {
        if (rules == null) {
            entries.clear();
            return;
        }
        entries.keySet().retainAll(targets.keySet());
        targets.forEach((id, target) -> register(id, target, rules, now));
    }

    private void register(String id, TargetState target, ColdTargetRules current, long now) {
        Entry entry = entries.get(id);
        if (entry == null || !entry.isOf(target)) {
            Deadline nextCall = entry == null ? null : entry.nextCall;
            entry = new Entry(target, target.warmAt(), now);
            entry.nextCall = nextCall;
            entries.put(id, entry);
        } else if (!entry.registeredWarmAt.equals(target.warmAt())) {
            entry.registeredWarmAt = target.warmAt();
            entry.extend(target.warmAt());
        }
        if (!current.owned().contains(id)) {
            entry.nextCall = null;
        } else if (entry.nextCall == null) {
            entry.nextCall = new Deadline(now + intervalNanos(current));
        }
    }

    /** Records that the zone of {@code target} has returned from evacuation. */
    void onZoneReturned(TargetState target, long now) {
        Entry entry = entries.get(target.config().id());
        if (rules != null && entry != null) {
            entry.extend(new Deadline(now + rules.warmUp().toNanos()));
        }
    }

    /** Records that the target has stated in reply to a probe when it is warm, which may be now. */
    void onReport(TargetState target, Deadline warmAt) {
        Entry entry = entries.get(target.config().id());
        if (entry != null) {
            entry.warmAt = warmAt;
        }
    }

    /** Records that a call was assigned to {@code target}. */
    void onAssigned(TargetState target, long now) {
        Entry entry = entries.get(target.config().id());
        if (rules != null && entry != null && entry.nextCall != null) {
            entry.nextCall = new Deadline(now + intervalNanos(rules));
        }
    }

    boolean isEmpty() {
        return entries.isEmpty();
    }

    boolean isCold(TargetState target, long now) {
        Entry entry = rules == null ? null : entries.get(target.config().id());
        return entry != null && entry.warmAt.remainingNanos(now) > 0;
    }

    /** Returns whether this daemon may send a call to the target now: it is warm, or owned and its turn has come. */
    boolean maySend(TargetState target, long now) {
        return waitNanos(target, now) == 0;
    }

    /** Returns the nanoseconds until this daemon may send a call to the target. */
    long waitNanos(TargetState target, long now) {
        if (!isCold(target, now)) {
            return 0;
        }
        Entry entry = entries.get(target.config().id());
        long untilWarm = entry.warmAt.remainingNanos(now);
        return entry.nextCall == null ? untilWarm : Math.clamp(entry.nextCall.remainingNanos(now), 0, untilWarm);
    }

    /** Returns whether a probe may check now whether the cold target is still cold. */
    boolean isCheckDue(TargetState target, long now) {
        Entry entry = entries.get(target.config().id());
        boolean mayCheck = nextCheck == null || nextCheck.remainingNanos(now) <= 0;
        return entry != null && mayCheck && entry.nextCheck.remainingNanos(now) <= 0;
    }

    /** Records that a probe checks the target. */
    void onCheck(TargetState target, long now) {
        nextCheck = new Deadline(now + CHECK_INTERVAL_NANOS);
        Entry entry = entries.get(target.config().id());
        if (entry != null) {
            entry.nextCheck = new Deadline(now + TARGET_CHECK_INTERVAL_NANOS);
        }
    }

    private static long intervalNanos(ColdTargetRules rules) {
        return (long) Math.ceil(NANOS_PER_SECOND / rules.requestsPerSecond());
    }
}
