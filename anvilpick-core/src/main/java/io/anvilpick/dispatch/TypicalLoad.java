package io.anvilpick.dispatch;

/**
 * The load that the targets of a service typically report. Guarded by the dispatcher's lock.
 *
 * <p>Load pattern: each of many daemons sends few calls, so that most of its load reports are stale. A target whose report is
 * stale is expected to be like the others, not idle: otherwise a daemon prefers the targets that it knows nothing of to those that
 * it has just found to be good, and fills the queues of targets that are all busy.
 */
final class TypicalLoad {
    private static final double MIN_SAMPLE_WEIGHT = 0.05;

    /** Number of reports of idle targets that the estimate starts with, so that one busy target does not stand for all. */
    private static final int PRIOR_SAMPLES = 8;

    /** Time after which half of the estimate is left if there are no reports. */
    private static final long HALF_LIFE_NANOS = 2_000_000_000L;

    private final Estimate otherCalls = new Estimate(0);
    private final Estimate slowness = new Estimate(SlownessScore.BASELINE);
    private long reportedAtNanos;

    /** A moving average of recent samples, which starts from the value of an idle target. */
    private static final class Estimate {
        private final double idleValue;
        private double value;
        private int samples;

        private Estimate(double idleValue) {
            this.idleValue = idleValue;
            this.value = idleValue;
        }

        private void add(double sample) {
            samples++;
            value += Math.max(MIN_SAMPLE_WEIGHT, 1.0 / (PRIOR_SAMPLES + samples)) * (sample - value);
        }

        private void restart() {
            samples = 0;
            value = idleValue;
        }

        private double decayed(double factor) {
            return idleValue + (value - idleValue) * factor;
        }
    }

    /** Adds a report of {@code calls} calls of other daemons at a target, and of the slowness of its VM. */
    void add(long nowNanos, int calls, double reportedSlowness) {
        if (nowNanos - reportedAtNanos > HALF_LIFE_NANOS) {
            otherCalls.restart();
            slowness.restart();
        }
        otherCalls.add(calls);
        slowness.add(reportedSlowness);
        reportedAtNanos = nowNanos;
    }

    /** Returns the typical number of calls that other daemons have at a target; zero if nothing is known. */
    double otherCalls(long nowNanos) {
        return otherCalls.decayed(decay(nowNanos));
    }

    /** Returns the typical slowness of a target's VM; that of an undisturbed one if nothing is known. */
    double slowness(long nowNanos) {
        return slowness.decayed(decay(nowNanos));
    }

    private double decay(long nowNanos) {
        return Math.pow(2, -(double) (nowNanos - reportedAtNanos) / HALF_LIFE_NANOS);
    }
}
