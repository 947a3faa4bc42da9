package io.anvilpick.dispatch;

import java.time.Duration;

/**
 * Bounds the load probes of one daemon to the targets of a service. Guarded by the dispatcher's lock.
 *
 * <p>Load pattern: hundreds of calls wait at a time in 19 daemons, each of which would probe 4 targets every 20 ms. The daemons share
 * what the targets allow without communicating: each has an equal part. Without a limit every probe is allowed.
 */
final class ProbeAllowance {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Part of the limit that is used. The rest covers bursts and daemons that are not yet known. */
    private static final double USED_FRACTION = 0.8;

    /** Time for which unused probes are kept. */
    private static final double KEPT_SECONDS = 0.2;

    /** Lowest capacity, so that a small share still allows whole rounds. */
    private static final double MIN_CAPACITY = 8;

    /** Part of the capacity that waiting calls leave to new calls. */
    private static final double RESERVED_FOR_NEW_CALLS = 0.5;

    private static final long SHARED_ROUND_NANOS = Duration.ofMillis(20).toNanos();

    private double perTargetAndSecond = Double.POSITIVE_INFINITY;
    private int targets;
    private int daemons = 1;

    /** The probes that may be sent at once. More than the capacity at first, so that the first limit begins with it. */
    private double tokens = Double.POSITIVE_INFINITY;

    private long filledNanos;
    private long sharedRoundNanos = Long.MIN_VALUE;

    void setLimit(double value) {
        perTargetAndSecond = value;
    }

    void setTargets(int count) {
        targets = count;
    }

    void setDaemons(int count) {
        daemons = count;
    }

    /** Returns how many of {@code wanted} probes may be sent now. */
    int available(int wanted, long now) {
        if (isUnlimited()) {
            return wanted;
        }
        fill(now);
        return (int) Math.min(wanted, tokens);
    }

    void spend(int probes) {
        tokens -= probes;
    }

    /** Returns whether a round of probes for all waiting calls is due, and if so, counts it as begun. */
    boolean tryBeginSharedRound(long now) {
        if (isUnlimited()) {
            return true;
        }
        fill(now);
        boolean recent = sharedRoundNanos != Long.MIN_VALUE && now - sharedRoundNanos < SHARED_ROUND_NANOS;
        if (recent || tokens < capacity() * RESERVED_FOR_NEW_CALLS) {
            return false;
        }
        sharedRoundNanos = now;
        return true;
    }

    private boolean isUnlimited() {
        return perTargetAndSecond == Double.POSITIVE_INFINITY;
    }

    private double perSecond() {
        return perTargetAndSecond * USED_FRACTION * targets / daemons;
    }

    private double capacity() {
        return Math.max(MIN_CAPACITY, perSecond() * KEPT_SECONDS);
    }

    private void fill(long now) {
        tokens = Math.min(capacity(), tokens + (now - filledNanos) / NANOS_PER_SECOND * perSecond());
        filledNanos = now;
    }
}
