package io.anvilpick.dispatch;

/** The latency quantiles of one request class over all targets of its service. Not thread safe. */
final class LatencyBaseline {
    private static final double MEDIAN = 0.5;
    private static final double HEDGE_QUANTILE = 0.9;

    private final QuantileEstimate median = new QuantileEstimate(MEDIAN);
    private final QuantileEstimate hedgeDelay = new QuantileEstimate(HEDGE_QUANTILE);

    void add(long latencyNanos) {
        median.add(latencyNanos);
        hedgeDelay.add(latencyNanos);
    }

    /** Returns the median latency in nanoseconds, or zero before the first answer. */
    long medianNanos() {
        return (long) median.value();
    }

    /**
     * Returns the 90th percentile of the latency in nanoseconds, after which an answer counts as late unless the policy
     * sets a longer delay. Returns zero before the first answer.
     */
    long hedgeDelayNanos() {
        return (long) hedgeDelay.value();
    }
}
