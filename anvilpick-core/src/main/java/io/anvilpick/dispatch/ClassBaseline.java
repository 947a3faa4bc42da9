package io.anvilpick.dispatch;

/** What answers of one class of requests usually take, over all targets of the service. Not thread safe. */
final class ClassBaseline {
    private static final double MEDIAN = 0.5;
    private static final double HEDGE_QUANTILE = 0.9;

    private final QuantileEstimate median = new QuantileEstimate(MEDIAN);
    private final QuantileEstimate hedgeDelay = new QuantileEstimate(HEDGE_QUANTILE);

    void add(long latencyNanos) {
        median.add(latencyNanos);
        hedgeDelay.add(latencyNanos);
    }

    /** Returns the median in nanoseconds; zero before the first answer. */
    long medianNanos() {
        return (long) median.value();
    }

    /** Returns the time in nanoseconds after which an answer counts as late; zero before the first answer. */
    long hedgeDelayNanos() {
        return (long) hedgeDelay.value();
    }
}
