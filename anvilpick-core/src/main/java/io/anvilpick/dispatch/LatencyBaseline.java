package io.anvilpick.dispatch;

import com.codahale.metrics.Reservoir;
import com.codahale.metrics.SlidingWindowReservoir;
import com.codahale.metrics.Snapshot;

/**
 * The latency quantiles of one request class over all targets of its service. Not thread safe.
 *
 * <p>They are the quantiles of the last answers, with equal weights. A daemon of a large fleet sees few answers of a class: the
 * first ones must not determine the quantiles for long, and a single slow one must not shift the median.
 */
final class LatencyBaseline {
    /** Number of answers that determine the quantiles. */
    private static final int WINDOW_SAMPLES = 63;

    /** Number of answers from which the median predicts how fast a queue drains. The first answers after a start are slow. */
    private static final int MIN_PREDICTIVE_SAMPLES = 30;

    private static final double HEDGE_QUANTILE = 0.9;
    private static final double TAIL_QUANTILE = 0.98;

    private final Reservoir samples = new SlidingWindowReservoir(WINDOW_SAMPLES);
    private long medianNanos;
    private long hedgeDelayNanos;
    private long tailNanos;

    /** Adds the latency of an answer. Latencies that are not positive are ignored. */
    void add(long latencyNanos) {
        if (latencyNanos <= 0) {
            return;
        }
        samples.update(latencyNanos);
        Snapshot snapshot = samples.getSnapshot();
        medianNanos = (long) snapshot.getMedian();
        hedgeDelayNanos = (long) snapshot.getValue(HEDGE_QUANTILE);
        tailNanos = (long) snapshot.getValue(TAIL_QUANTILE);
    }

    /** Returns the median latency in nanoseconds, or zero before the first answer. */
    long medianNanos() {
        return medianNanos;
    }

    /**
     * Returns the 90th percentile of the latency in nanoseconds, after which an answer counts as late unless the policy
     * sets a longer delay. Returns zero before the first answer.
     */
    long hedgeDelayNanos() {
        return hedgeDelayNanos;
    }

    /** Returns the 98th percentile of the latency in nanoseconds, or zero before the first answer. */
    long tailNanos() {
        return tailNanos;
    }

    /** Returns whether there are enough answers to predict the wait in a queue from their median. */
    boolean hasManySamples() {
        return samples.size() >= MIN_PREDICTIVE_SAMPLES;
    }
}
