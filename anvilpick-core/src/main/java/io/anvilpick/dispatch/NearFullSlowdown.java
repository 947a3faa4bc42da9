package io.anvilpick.dispatch;

/**
 * An estimate of how much longer calls of a service take on a target that is nearly full, derived from answers. Guarded
 * by the dispatcher's lock.
 *
 * <p>Some services slow down on nearly full targets and others do not. Until there are enough samples from both nearly
 * full and other targets, the service is assumed to slow down.
 */
final class NearFullSlowdown {
    /** Factor assumed until there are enough samples; also the maximum of the estimate. */
    private static final double DEFAULT_FACTOR = 1.7;

    private static final int MIN_SAMPLES = 25;
    private static final double MIN_SAMPLE_WEIGHT = 0.05;

    /** Cap on a sample: a slowdown above it has another cause, such as a slow VM. */
    private static final double MAX_SAMPLE = 3.0;

    private final DecayingMean nearFullMean = new DecayingMean();
    private final DecayingMean otherMean = new DecayingMean();

    /** An exponentially weighted moving average, which is the plain mean for the first samples. */
    private static final class DecayingMean {
        private double value;
        private int samples;

        private void add(double sample) {
            samples++;
            value += Math.max(MIN_SAMPLE_WEIGHT, 1.0 / samples) * (sample - value);
        }
    }

    /** Adds the latency of an answer, given as a multiple of the baseline. */
    void add(boolean nearlyFull, double sample) {
        (nearlyFull ? nearFullMean : otherMean).add(Math.min(sample, MAX_SAMPLE));
    }

    /** Returns the latency on nearly full targets as a multiple of that on others; one if there is no difference. */
    double factor() {
        if (nearFullMean.samples < MIN_SAMPLES || otherMean.samples < MIN_SAMPLES) {
            return DEFAULT_FACTOR;
        }
        return Math.clamp(nearFullMean.value / otherMean.value, 1.0, DEFAULT_FACTOR);
    }
}
