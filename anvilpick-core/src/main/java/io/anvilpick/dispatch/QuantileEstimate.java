package io.anvilpick.dispatch;

/** A streaming estimate of one quantile of positive samples, in constant space and time. Not thread safe. */
final class QuantileEstimate {
    private static final double RELATIVE_STEP = 0.05;

    private final double quantile;
    private double value;

    QuantileEstimate(double quantile) {
        this.quantile = quantile;
    }

    /**
     * Adds a sample. The estimate rises by {@code quantile} times the relative step if the sample exceeds it, and falls
     * by {@code 1 - quantile} times the step otherwise. Samples that are not positive are ignored.
     */
    void add(double sample) {
        if (sample <= 0) {
            return;
        }
        if (value == 0) {
            value = sample;
            return;
        }
        if (sample > value) {
            value *= 1 + RELATIVE_STEP * quantile;
            return;
        }
        value *= 1 - RELATIVE_STEP * (1 - quantile);
    }

    /** Returns the estimate, or zero before the first sample. */
    double value() {
        return value;
    }
}
