package io.anvilpick.dispatch;

/**
 * The share of the targets of one availability zone that can take one more call without delay, according to load reports. Guarded by
 * the dispatcher's lock.
 *
 * <p>Load pattern: each of many daemons sees some tens of reports a second, of other targets each time. All daemons of a zone
 * therefore estimate nearly the same share, without messages between them.
 */
final class ZoneRoom {
    private static final double SAMPLE_WEIGHT = 0.05;

    /** Age of the last report above which the estimate tends to that of an idle zone. */
    private static final long MAX_AGE_NANOS = 1_000_000_000L;

    /** Time after which half of the estimate is left, from that age on. */
    private static final long HALF_LIFE_NANOS = 2_000_000_000L;

    private static final double IDLE = 1.0;

    private double share = IDLE;
    private long reportedAtNanos;

    /** Adds whether a target reported room for one more call. */
    void add(long nowNanos, boolean hasRoom) {
        share = at(nowNanos);
        share += SAMPLE_WEIGHT * ((hasRoom ? 1 : 0) - share);
        reportedAtNanos = nowNanos;
    }

    /** Returns the estimated share of targets with room; one if nothing is known. */
    double at(long nowNanos) {
        long excessNanos = Math.max(0, nowNanos - reportedAtNanos - MAX_AGE_NANOS);
        return IDLE + (share - IDLE) * Math.pow(2, -(double) excessNanos / HALF_LIFE_NANOS);
    }
}
