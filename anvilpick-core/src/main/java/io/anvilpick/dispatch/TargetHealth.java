package io.anvilpick.dispatch;

/**
 * Whether a target receives calls, as its failures and probes show. Guarded by the dispatcher's lock.
 *
 * <p>Load pattern: a target that fails fast looks idle and would attract the calls of a whole service. It is ejected until a probe or a
 * trial call shows that it has recovered.
 */
final class TargetHealth {
    private static final long MIN_EJECTION_NANOS = 100_000_000L;
    private static final long MAX_EJECTION_NANOS = 5_000_000_000L;

    /** Time for which another target at the address is remembered unless it answers again. */
    private static final long REPLACED_LIFETIME_NANOS = 30_000_000_000L;

    private static final int FAILURES_TO_EJECT = 3;

    /** Consecutive inconclusive failures that eject a target if too much capacity is ejected already. */
    private static final int FAILURES_TO_EJECT_ABOVE_CAP = 10;

    private Health health = new Health.Serving();
    private int consecutiveFailures;

    void copyTo(TargetHealth other) {
        other.health = health;
        other.consecutiveFailures = consecutiveFailures;
    }

    /**
     * Returns whether the target accepts new calls. An ejected target does once its ejection is over and it is {@code idle}.
     */
    boolean mayServe(long nowNanos, boolean idle) {
        return switch (health) {
            case Health.Serving ignored -> true;
            case Health.Replaced replaced -> nowNanos - replaced.untilNanos() >= 0;
            case Health.Ejected ejected -> nowNanos - ejected.untilNanos() >= 0 && idle;
        };
    }

    /** Returns whether another target has the address. */
    boolean isReplaced(long nowNanos) {
        return health instanceof Health.Replaced replaced && nowNanos - replaced.untilNanos() < 0;
    }

    boolean isEjected() {
        return health instanceof Health.Ejected;
    }

    /** Records an answer without a server error. Returns whether it has ended an ejection. */
    boolean onSuccess() {
        consecutiveFailures = 0;
        boolean wasEjected = isEjected();
        if (wasEjected) {
            health = new Health.Serving();
        }
        return wasEjected;
    }

    /** Records a reply to a probe, which ends an ejection. */
    void onProbe() {
        if (isEjected()) {
            health = new Health.Serving();
            consecutiveFailures = 0;
        }
    }

    /**
     * Records that a probe tests the ejected target for recovery. The target stays ejected until the probe yields a result. Without
     * a result, the next test is due after {@link #MAX_EJECTION_NANOS}.
     */
    void onRecoveryProbe(long nowNanos) {
        if (health instanceof Health.Ejected ejected) {
            health = new Health.Ejected(nowNanos + MAX_EJECTION_NANOS, ejected.failures());
        }
    }

    void onReplaced(long nowNanos) {
        health = new Health.Replaced(nowNanos + REPLACED_LIFETIME_NANOS);
    }

    /**
     * Records a failure. A conclusive one ejects the target at once. Others eject it after several consecutive failures, or after
     * many if {@code mayEject} is false because too much capacity is ejected already. Any failure of an ejected target ejects it
     * again. The ejection time doubles with each consecutive failure, up to a maximum.
     *
     * @param keepsHealth whether the target gets no calls anyway, for longer than any ejection
     */
    void onFailure(long nowNanos, boolean keepsHealth, boolean conclusive, boolean mayEject) {
        consecutiveFailures++;
        if (keepsHealth) {
            return;
        }
        int threshold = mayEject ? FAILURES_TO_EJECT : FAILURES_TO_EJECT_ABOVE_CAP;
        if (!isEjected() && !conclusive && consecutiveFailures < threshold) {
            return;
        }
        int doublings = Math.min(consecutiveFailures, Integer.SIZE - 1);
        long ejectionNanos = MIN_EJECTION_NANOS;
        for (int i = 1; i < doublings && ejectionNanos < MAX_EJECTION_NANOS; i++) {
            ejectionNanos *= 2;
        }
        health = new Health.Ejected(nowNanos + Math.min(ejectionNanos, MAX_EJECTION_NANOS), consecutiveFailures);
    }
}
