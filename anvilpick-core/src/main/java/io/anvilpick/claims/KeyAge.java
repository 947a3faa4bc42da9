package io.anvilpick.claims;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;

/**
 * Checks idempotency keys by their creation time.
 *
 * <p>An idempotency key that is a version 7 UUID contains the wall-clock time at which it was created. The time shows
 * whether the key is older than the retention of claims. It also shows whether the key is too recent to have been
 * claimed in an epoch whose claims were lost.
 */
public final class KeyAge {
    /** Maximum difference between the wall clocks of a caller and a daemon, in milliseconds. */
    public static final long MAX_CLOCK_SKEW_MILLIS = 60_000;

    private static final int TIME_ORDERED_VERSION = 7;
    private static final int NON_TIME_BITS = 16;
    private static final int UUID_CHARACTERS = 36;

    /** The reason why a key cannot be claimed. */
    public enum Rejection {
        /** The key is older than the time for which claims are retained. */
        EXPIRED,
        /** A claim on the key may have been among claims that were lost. */
        CLAIMS_LOST
    }

    private KeyAge() {}

    /** Returns the creation time that {@code key} contains, in milliseconds since the Unix epoch; empty if none. */
    public static OptionalLong createdAtMillis(String key) {
        if (key.length() != UUID_CHARACTERS) {
            return OptionalLong.empty();
        }
        try {
            UUID uuid = UUID.fromString(key);
            return uuid.version() == TIME_ORDERED_VERSION
                    ? OptionalLong.of(uuid.getMostSignificantBits() >>> NON_TIME_BITS)
                    : OptionalLong.empty();
        } catch (IllegalArgumentException e) {
            return OptionalLong.empty();
        }
    }

    /**
     * Returns the reason why {@code key} cannot be claimed; empty if it can be claimed.
     *
     * <p>A key expires earlier than its claims, by {@link #MAX_CLOCK_SKEW_MILLIS}. No key is rejected as expired if
     * {@code retentionMillis} is at most twice that skew. A key without a creation time is rejected until claims lost
     * by {@code group} would have expired.
     *
     * @param retentionMillis time for which claims are retained, in milliseconds
     */
    public static Optional<Rejection> rejectionOf(String key, ClaimGroup group, long retentionMillis, long nowMillis) {
        OptionalLong createdAt = createdAtMillis(key);
        if (createdAt.isPresent()
                && createdAt.getAsLong() < nowMillis - retentionMillis + MAX_CLOCK_SKEW_MILLIS
                && retentionMillis > 2 * MAX_CLOCK_SKEW_MILLIS) {
            return Optional.of(Rejection.EXPIRED);
        }
        boolean lossExpired = nowMillis >= group.trustedFromMillis() + retentionMillis;
        if (group.trustedFromMillis() == 0 || lossExpired) {
            return Optional.empty();
        }
        boolean createdSinceLoss =
                createdAt.isPresent() && createdAt.getAsLong() >= group.trustedFromMillis() + MAX_CLOCK_SKEW_MILLIS;
        return createdSinceLoss ? Optional.empty() : Optional.of(Rejection.CLAIMS_LOST);
    }
}
