package io.anvilpick.claims;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;

/**
 * Judges keys by the time that they carry.
 *
 * <p>An idempotency key that is a version 7 UUID carries the wall-clock time at which it was made. Such a key can be told
 * to be too old to be remembered, or too young to have been claimed in an epoch whose claims were lost.
 */
public final class KeyAge {
    /** Milliseconds by which a caller's wall clock may differ from a daemon's. */
    public static final long MAX_CLOCK_SKEW_MILLIS = 60_000;

    private static final int TIMED_VERSION = 7;
    private static final int NON_TIME_BITS = 16;
    private static final int UUID_CHARACTERS = 36;

    /** Why a key cannot be claimed. */
    public enum Rejection {
        /** The key is older than the time for which keys are remembered. */
        EXPIRED,
        /** The key may have been claimed among claims that were lost. */
        CLAIMS_LOST
    }

    private KeyAge() {}

    /** Returns the time at which {@code key} was made in milliseconds since the Unix epoch, if it carries one. */
    public static OptionalLong createdAtMillis(String key) {
        if (key.length() != UUID_CHARACTERS) {
            return OptionalLong.empty();
        }
        try {
            UUID uuid = UUID.fromString(key);
            return uuid.version() == TIMED_VERSION
                    ? OptionalLong.of(uuid.getMostSignificantBits() >>> NON_TIME_BITS)
                    : OptionalLong.empty();
        } catch (IllegalArgumentException e) {
            return OptionalLong.empty();
        }
    }

    /**
     * Returns why {@code key} cannot be claimed, or empty if it can.
     *
     * @param keyMemoryMillis milliseconds for which keys are remembered
     */
    public static Optional<Rejection> rejectionOf(String key, ClaimGroup group, long keyMemoryMillis, long nowMillis) {
        OptionalLong madeAt = createdAtMillis(key);
        if (madeAt.isPresent()
                && madeAt.getAsLong() < nowMillis - keyMemoryMillis + MAX_CLOCK_SKEW_MILLIS
                && keyMemoryMillis > 2 * MAX_CLOCK_SKEW_MILLIS) {
            return Optional.of(Rejection.EXPIRED);
        }
        boolean lossForgotten = nowMillis >= group.trustedFromMillis() + keyMemoryMillis;
        if (group.trustedFromMillis() == 0 || lossForgotten) {
            return Optional.empty();
        }
        boolean madeSince =
                madeAt.isPresent() && madeAt.getAsLong() >= group.trustedFromMillis() + MAX_CLOCK_SKEW_MILLIS;
        return madeSince ? Optional.empty() : Optional.of(Rejection.CLAIMS_LOST);
    }
}
