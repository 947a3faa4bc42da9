package io.anvilpick.dispatch;

/**
 * How much longer calls of a service take on a target that is nearly full, learnt from answers. Guarded by the dispatcher's
 * lock.
 *
 * <p>Some services slow down then and others do not. Until both kinds of answers have been seen often enough, the service
 * counts as one that does.
 */
final class NearFullSlowdown {
    private static final double UNKNOWN_FACTOR = 1.7;
    private static final int LEAST_READINGS = 25;
    private static final double WEIGHT = 0.05;

    /** Reading above which an answer tells of something else, such as a slow machine. */
    private static final double MOST_READING = 3.0;

    private final Mean whenFull = new Mean();
    private final Mean otherwise = new Mean();

    /** A mean in which older readings fade. */
    private static final class Mean {
        private double value;
        private int readings;

        private void add(double reading) {
            readings++;
            value += Math.max(WEIGHT, 1.0 / readings) * (reading - value);
        }
    }

    /** Folds in the time that an answer took as a multiple of the usual time. */
    void add(boolean nearlyFull, double reading) {
        (nearlyFull ? whenFull : otherwise).add(Math.min(reading, MOST_READING));
    }

    /** Returns the factor, one if nearly full targets are as fast as others. */
    double factor() {
        if (whenFull.readings < LEAST_READINGS || otherwise.readings < LEAST_READINGS) {
            return UNKNOWN_FACTOR;
        }
        return Math.clamp(whenFull.value / otherwise.value, 1.0, UNKNOWN_FACTOR);
    }
}
