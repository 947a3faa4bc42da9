package io.anvilpick.dispatch;

import java.time.Duration;
import java.util.OptionalDouble;

/**
 * Measures how many waiting calls a second this daemon sends to a service. Guarded by the dispatcher's lock.
 *
 * <p>Load pattern: calls wait for seconds because several daemons together send more than the targets can answer. The free slots that
 * one daemon gets then depend on the others, which it does not see. Only time in which calls wait counts.
 */
final class DrainRate {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Busy time over which counts decay to 1/e. */
    private static final double DECAY_NANOS = Duration.ofSeconds(1).toNanos();

    /** Age of the last dispatch from which the rate is unknown. */
    private static final long MAX_AGE_NANOS = Duration.ofSeconds(1).toNanos();

    private static final double MIN_BUSY_NANOS = Duration.ofMillis(100).toNanos();
    private static final double MIN_DISPATCHES = 8;

    /** Number of standard deviations by which the upper estimate exceeds the measured rate. */
    private static final double UPPER_DEVIATIONS = 2;

    private double dispatches;
    private double busyNanos;
    private long observedNanos;
    private long dispatchedNanos;

    /** Records whether calls have been waiting since the last observation. */
    void observe(boolean waiting, long now) {
        long elapsed = now - observedNanos;
        observedNanos = now;
        if (!waiting || elapsed <= 0) {
            return;
        }
        double kept = Math.exp(-elapsed / DECAY_NANOS);
        dispatches *= kept;
        busyNanos = busyNanos * kept + DECAY_NANOS * (1 - kept);
    }

    /** Records that a waiting call was sent. */
    void onDispatched(long now) {
        if (isOld(now)) {
            dispatches = 0;
            busyNanos = 0;
        }
        dispatches++;
        dispatchedNanos = now;
    }

    /** Returns the dispatches a second; empty if too few or none lately are known. */
    OptionalDouble perSecond(long now) {
        return isKnown(now) ? OptionalDouble.of(dispatches / busyNanos * NANOS_PER_SECOND) : OptionalDouble.empty();
    }

    /** Returns a rate that the true one hardly exceeds, so that chance alone refuses no call; empty if too little is known. */
    OptionalDouble upperPerSecond(long now) {
        double upper = dispatches + UPPER_DEVIATIONS * Math.sqrt(dispatches);
        return isKnown(now) ? OptionalDouble.of(upper / busyNanos * NANOS_PER_SECOND) : OptionalDouble.empty();
    }

    private boolean isKnown(long now) {
        return dispatches >= MIN_DISPATCHES && busyNanos >= MIN_BUSY_NANOS && !isOld(now);
    }

    private boolean isOld(long now) {
        return now - dispatchedNanos > MAX_AGE_NANOS;
    }
}
