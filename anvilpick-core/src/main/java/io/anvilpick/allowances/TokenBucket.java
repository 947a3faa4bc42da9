package io.anvilpick.allowances;

import java.time.Duration;

/** A token bucket that keeps fractions of tokens and starts empty. Not thread safe. */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Tolerance for rounding, in tokens. Without it a token may be missing at the moment for which it was announced. */
    private static final double EPSILON = 1e-9;

    private double ratePerSecond;
    private double capacity;
    private double tokens;
    private long refilledAtNanos;

    TokenBucket(long nowNanos) {
        this.refilledAtNanos = nowNanos;
    }

    /** Sets rate and capacity. Tokens above the capacity are lost. The first rate counts from the creation of the bucket. */
    void configure(double newRatePerSecond, double newCapacity, long nowNanos) {
        if (ratePerSecond > 0) {
            refill(nowNanos);
        }
        ratePerSecond = newRatePerSecond;
        capacity = newCapacity;
        tokens = Math.min(tokens, capacity);
    }

    /** Drops the tokens of the time between the last use and {@code nanos}. */
    void skipTo(long nanos) {
        if (nanos - refilledAtNanos > 0) {
            refilledAtNanos = nanos;
        }
    }

    /** Takes at most {@code wanted} whole tokens and returns their number. */
    int take(int wanted, long nowNanos) {
        refill(nowNanos);
        int taken = (int) Math.min(Math.max(0, wanted), Math.floor(tokens + EPSILON));
        tokens = Math.max(0, tokens - taken);
        return taken;
    }

    /** Returns the time until the bucket has a whole token, in whole milliseconds, rounded up. */
    Duration untilNextToken(long nowNanos) {
        refill(nowNanos);
        double nanos = Math.max(0, 1 - EPSILON - tokens) / ratePerSecond * NANOS_PER_SECOND;
        return Duration.ofMillis((long) Math.ceil(nanos / NANOS_PER_MILLI));
    }

    private void refill(long nowNanos) {
        long elapsed = nowNanos - refilledAtNanos;
        if (elapsed <= 0) {
            return;
        }
        tokens = Math.min(capacity, tokens + elapsed / NANOS_PER_SECOND * ratePerSecond);
        refilledAtNanos = nowNanos;
    }
}
