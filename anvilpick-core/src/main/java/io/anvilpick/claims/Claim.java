package io.anvilpick.claims;

/**
 * A claim of one call on an idempotency key.
 *
 * @param key the claimed key
 * @param holder random ID of the call that claims the key
 * @param fingerprint digest of the request; reveals the reuse of a key with a different request
 * @param state progress of the call
 * @param runsUntilMillis wall-clock time after which the outcome of a call that is still recorded as running counts as
 *     unknown, in milliseconds since the Unix epoch
 * @param expiresAtMillis wall-clock time from which the claim is removed, in milliseconds since the Unix epoch
 */
public record Claim(
        ClaimKey key, String holder, String fingerprint, ClaimState state, long runsUntilMillis, long expiresAtMillis) {
    /** Returns a copy of this claim in the state {@code next}. */
    public Claim withState(ClaimState next) {
        return new Claim(key, holder, fingerprint, next, runsUntilMillis, expiresAtMillis);
    }

    /** Returns this claim as of {@code nowMillis}: with an unknown outcome if its call should have ended by then. */
    public Claim asOf(long nowMillis) {
        boolean overdue = state instanceof ClaimState.Running && nowMillis > runsUntilMillis;
        return overdue ? withState(new ClaimState.OutcomeUnknown()) : this;
    }
}
