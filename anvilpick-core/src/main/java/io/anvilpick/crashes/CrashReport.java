package io.anvilpick.crashes;

/**
 * A report that a target crashed while it ran a request.
 *
 * @param fingerprint digest of the request
 * @param target address of the target
 * @param atMillis time at which the crash was detected, in milliseconds since the Unix epoch
 */
public record CrashReport(String fingerprint, String target, long atMillis) {
    /** Milliseconds after which a report expires. */
    public static final long RETENTION_MILLIS = 600_000;

    private static final long SAME_CRASH_MILLIS = 5_000;

    /** Milliseconds by which the clocks of two daemons may differ. */
    private static final long MAX_CLOCK_DIFFERENCE_MILLIS = 60_000;

    /** Returns whether this report and {@code other} describe one crash: of the same target at nearly the same time. */
    public boolean isSameCrash(CrashReport other) {
        return target.equals(other.target) && Math.abs(atMillis - other.atMillis) < SAME_CRASH_MILLIS;
    }

    /** Returns whether the report has expired at {@code nowMillis}, in milliseconds since the Unix epoch. */
    public boolean isExpired(long nowMillis) {
        return nowMillis >= atMillis + RETENTION_MILLIS;
    }

    /** Returns whether the report is dated so far in the future that its date cannot be right. It would expire late or never. */
    public boolean isImplausible(long nowMillis) {
        return atMillis - MAX_CLOCK_DIFFERENCE_MILLIS > nowMillis;
    }
}
