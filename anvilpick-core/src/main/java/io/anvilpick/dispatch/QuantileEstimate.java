package io.anvilpick.dispatch;

/** A running estimate of one quantile of positive readings, in constant space and time. Not thread safe. */
final class QuantileEstimate {
    private static final double STEP = 0.05;

    private final double quantile;
    private double value;

    QuantileEstimate(double quantile) {
        this.quantile = quantile;
    }

    /** Moves the estimate by a relative step, up for a larger reading, down for a smaller one. */
    void add(double reading) {
        if (reading <= 0) {
            return;
        }
        if (value == 0) {
            value = reading;
            return;
        }
        if (reading > value) {
            value *= 1 + STEP * quantile;
            return;
        }
        value *= 1 - STEP * (1 - quantile);
    }

    /** Returns the estimate; zero before the first reading. */
    double value() {
        return value;
    }
}
