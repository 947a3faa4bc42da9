package io.anvilpick.dispatch;

/**
 * The load that one target last reported. Guarded by the dispatcher's lock.
 *
 * <p>A report is stale within milliseconds. With its age, the estimates of this class decay towards the typical load of the service.
 */
final class ReportedLoad {
    /** Age below which a report counts in {@link #recentOtherCalls}. */
    private static final long MAX_RECENT_AGE_NANOS = 50_000_000L;

    /** Age below which a report makes a new probe unnecessary. */
    private static final long MAX_FRESH_AGE_NANOS = 25_000_000L;

    private static final long OTHER_CALLS_HALF_LIFE_NANOS = 200_000_000L;
    private static final long SLOWNESS_HALF_LIFE_NANOS = 150_000_000L;

    private final TypicalLoad typical;
    private int inFlight;
    private int otherCalls;
    private double slowness = SlownessScore.BASELINE;
    private long reportedAtNanos;

    /** Creates the load of a target that has not reported any yet. */
    ReportedLoad(TypicalLoad typical, long nowNanos) {
        this.typical = typical;
        this.reportedAtNanos = nowNanos - MAX_RECENT_AGE_NANOS;
    }

    /** Records a report that counts {@code ownCalls} calls of this daemon. */
    void record(long nowNanos, LoadReport report, int ownCalls) {
        inFlight = report.inFlight();
        otherCalls = Math.max(0, report.inFlight() - ownCalls);
        slowness = report.slowness();
        reportedAtNanos = nowNanos;
        typical.add(nowNanos, otherCalls, slowness);
    }

    /** Returns the calls at the target according to the last report, whatever its age. */
    int inFlight() {
        return inFlight;
    }

    /** Returns the calls of other daemons according to a recent report; zero without one. */
    int recentOtherCalls(long nowNanos) {
        return nowNanos - reportedAtNanos < MAX_RECENT_AGE_NANOS ? otherCalls : 0;
    }

    /** Returns the expected calls of other daemons. */
    double otherCalls(long nowNanos) {
        double weight = decay(nowNanos, OTHER_CALLS_HALF_LIFE_NANOS);
        return otherCalls * weight + typical.otherCalls(nowNanos) * (1 - weight);
    }

    /** Returns the least number of calls of other daemons that the last report still stands for. */
    double knownOtherCalls(long nowNanos) {
        return otherCalls * decay(nowNanos, OTHER_CALLS_HALF_LIFE_NANOS);
    }

    /** Returns the expected slowness of the target's VM. */
    double slowness(long nowNanos) {
        double usual = typical.slowness(nowNanos);
        return usual + (slowness - usual) * decay(nowNanos, SLOWNESS_HALF_LIFE_NANOS);
    }

    /** Returns whether the last report is recent enough to reflect the present load. */
    boolean isFresh(long nowNanos) {
        return nowNanos - reportedAtNanos < MAX_FRESH_AGE_NANOS;
    }

    private double decay(long nowNanos, long halfLifeNanos) {
        return Math.pow(2, -(double) (nowNanos - reportedAtNanos) / halfLifeNanos);
    }
}
