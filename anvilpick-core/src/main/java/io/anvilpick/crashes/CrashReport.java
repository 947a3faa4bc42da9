package io.anvilpick.crashes;

/**
 * Word that a target crashed while it ran a request.
 *
 * @param fingerprint digest of the request
 * @param target address of the target
 * @param atMillis when it was noticed, in milliseconds since the Unix epoch
 */
public record CrashReport(String fingerprint, String target, long atMillis) {
    /** Milliseconds for which a crash is remembered. */
    public static final long RETENTION_MILLIS = 600_000;

    private static final long SAME_CRASH_MILLIS = 5_000;

    /** Returns whether this report and {@code other} tell of the same crash. */
    public boolean isSameCrash(CrashReport other) {
        return target.equals(other.target) && Math.abs(atMillis - other.atMillis) < SAME_CRASH_MILLIS;
    }

    /** Returns whether the crash is no longer remembered at {@code nowMillis}. */
    public boolean isExpired(long nowMillis) {
        return nowMillis >= atMillis + RETENTION_MILLIS;
    }
}
