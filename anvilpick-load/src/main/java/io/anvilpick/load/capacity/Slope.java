package io.anvilpick.load.capacity;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * A quantity measured at several sizes, and the straight line fitted to it by least squares.
 *
 * @param name name of the quantity
 * @param unit unit of the quantity
 * @param per unit of the size
 * @param sizes the sizes
 * @param values the quantity at each size
 * @param slope growth of the quantity per unit of the size
 * @param intercept value of the line at size zero
 * @param worstErrorPercent largest distance of a value from the line, in percent of the value
 */
record Slope(
        String name,
        String unit,
        String per,
        ImmutableList<Double> sizes,
        ImmutableList<Double> values,
        double slope,
        double intercept,
        double worstErrorPercent) {
    private static final int MIN_SIZES = 4;
    private static final double PERCENT = 100;

    /**
     * Fits a line to {@code values} at {@code sizes}.
     *
     * @throws IllegalArgumentException if there are fewer than four sizes, or not as many values as sizes
     */
    static Slope fit(String name, String unit, String per, List<Double> sizes, List<Double> values) {
        checkArgument(sizes.size() >= MIN_SIZES, "at least four sizes are required: %s", sizes);
        checkArgument(sizes.size() == values.size(), "there must be one value for each size: %s", values);
        double meanSize = mean(sizes);
        double meanValue = mean(values);
        double covariance = 0;
        double variance = 0;
        for (int i = 0; i < sizes.size(); i++) {
            covariance += (sizes.get(i) - meanSize) * (values.get(i) - meanValue);
            variance += (sizes.get(i) - meanSize) * (sizes.get(i) - meanSize);
        }
        double slope = covariance / variance;
        double intercept = meanValue - slope * meanSize;
        double maxError = 0;
        for (int i = 0; i < sizes.size(); i++) {
            double error = Math.abs(intercept + slope * sizes.get(i) - values.get(i)) / Math.abs(values.get(i));
            maxError = Math.max(maxError, error);
        }
        return new Slope(
                name,
                unit,
                per,
                ImmutableList.copyOf(sizes),
                ImmutableList.copyOf(values),
                slope,
                intercept,
                maxError * PERCENT);
    }

    /** Returns the value of the line at {@code size}. */
    double at(double size) {
        return intercept + slope * size;
    }

    private static double mean(List<Double> numbers) {
        return numbers.stream().mapToDouble(Double::doubleValue).average().orElseThrow();
    }
}
