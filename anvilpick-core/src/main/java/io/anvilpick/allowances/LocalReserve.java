package io.anvilpick.allowances;

import io.anvilpick.tenants.Allowance;
import java.time.Duration;
import java.util.SplittableRandom;

/**
 * This daemon's part of the requests of a tenant that may run although no grantor answers. Not thread safe.
 *
 * <p>Time is divided into periods, and one request may run in the first part of each. The phase is random, because most daemons of a
 * large fleet have less than one request in a window, and all of them lose the grantors at the same moment. A part that is not used
 * is lost.
 */
final class LocalReserve {
    /** The part of the overshoot that all reserves use together. Tokens that are carried over into a window need most of the rest. */
    private static final double OVERSHOOT_PART = 0.2;

    /** The part of the slack that all reserves use together. */
    private static final double SLACK_PART = 0.4;

    private static final double NANOS_PER_SECOND = 1e9;

    /** Maximum time in which the request of a period may run. */
    private static final double MAX_SLOT_NANOS = 1e9;

    private final AllowanceBounds bounds;
    private boolean started;
    private long slotNanos;

    LocalReserve(AllowanceBounds bounds) {
        this.bounds = bounds;
    }

    /** Returns whether one request may run now. The reserve is shared by {@code daemons} daemons. */
    boolean tryTake(Allowance allowance, int daemons, SplittableRandom random, long nowNanos) {
        double period = periodNanos(allowance, daemons);
        if (!started) {
            started = true;
            slotNanos = nowNanos + (long) (random.nextDouble() * period);
        }
        if (nowNanos - slotNanos < 0) {
            return false;
        }
        double slotLength = Math.min(MAX_SLOT_NANOS, period);
        long late = nowNanos - slotNanos;
        if (late >= slotLength) {
            slotNanos += (long) (Math.floor(late / period) * period);
            if (nowNanos - slotNanos >= slotLength) {
                slotNanos += (long) period;
                return false;
            }
        }
        slotNanos += (long) period;
        return true;
    }

    /** Returns the time until the next request may run. */
    Duration untilNext(long nowNanos) {
        return Duration.ofNanos(started ? Math.max(0, slotNanos - nowNanos) : 0);
    }

    private double periodNanos(Allowance allowance, int daemons) {
        double windowSeconds = bounds.window().toNanos() / NANOS_PER_SECOND;
        double allowed = allowance.ratePerSecond() * windowSeconds + allowance.burst();
        double reserve = OVERSHOOT_PART * bounds.overshoot() * allowed + SLACK_PART * bounds.slack();
        return bounds.window().toNanos() * Math.max(1, daemons) / Math.max(reserve, Double.MIN_NORMAL);
    }
}
