package io.anvilpick.dispatch;

/**
 * How slow a target has been, as the decayed mean of the slowdowns of its calls: one as usual, larger if slower. Guarded by the
 * dispatcher's lock.
 *
 * <p>The score decays exponentially to {@link #BASELINE}. Its half-life follows what the calls show: a persistent straggler is tried
 * less and less often, while a brief disturbance is soon forgotten.
 */
final class SlownessScore {
    /** Score of a target that is as fast as the others. */
    static final double BASELINE = 1.0;

    /** Score from which a target counts as slow. Waiting for a slot of another target may then be faster. */
    static final double SLOW = 2.0;

    private static final double SAMPLE_WEIGHT = 0.3;
    private static final long MIN_HALF_LIFE_NANOS = 10_000_000L;

    /** Half-life from which a target counts as persistently slow. */
    private static final long PERSISTENT_HALF_LIFE_NANOS = 160_000_000L;

    private static final long MAX_HALF_LIFE_NANOS = 10_000_000_000L;

    /** Time of a call above which its slowness has a cause that lasts. The speed of a VM varies within some 150 ms. */
    private static final long MAX_BRIEF_DISTURBANCE_NANOS = 500_000_000L;

    private double score = BASELINE;
    private long scoreAtNanos;
    private long halfLifeNanos = MIN_HALF_LIFE_NANOS;

    SlownessScore(long nowNanos) {
        this.scoreAtNanos = nowNanos;
    }

    /** Returns the score at {@code nowNanos}. */
    double at(long nowNanos) {
        double halfLives = (double) (nowNanos - scoreAtNanos) / halfLifeNanos;
        return BASELINE + (score - BASELINE) * Math.pow(2, -halfLives);
    }

    /** Returns whether the target has repeatedly been slow and will probably be slow again. */
    boolean isPersistentlySlow() {
        return halfLifeNanos >= PERSISTENT_HALF_LIFE_NANOS;
    }

    /**
     * Adds the slowdown of a call that took {@code elapsedNanos}. The half-life doubles if the target is slow again after
     * its score had decayed, and falls to a quarter with each call that is not slow.
     *
     * <p>Load pattern: each daemon of a large fleet sends to a target every few seconds, and some targets are slow for
     * seconds without reporting it. The half-life is therefore at least the time for which a slow call has shown the
     * target to be slow, if that exceeds a brief disturbance.
     */
    void add(long nowNanos, long elapsedNanos, long baselineNanos) {
        double sample = (double) elapsedNanos / baselineNanos;
        double decayed = at(nowNanos);
        boolean slow = sample > SLOW;
        if (slow && decayed < SLOW) {
            halfLifeNanos = Math.min(MAX_HALF_LIFE_NANOS, halfLifeNanos * 2);
        }
        if (slow && elapsedNanos > MAX_BRIEF_DISTURBANCE_NANOS) {
            halfLifeNanos = Math.clamp(elapsedNanos, halfLifeNanos, MAX_HALF_LIFE_NANOS);
        }
        if (!slow) {
            halfLifeNanos = Math.max(MIN_HALF_LIFE_NANOS, halfLifeNanos / 4);
        }
        score = decayed + SAMPLE_WEIGHT * (sample - decayed);
        scoreAtNanos = nowNanos;
    }
}
