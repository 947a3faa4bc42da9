package io.anvilpick.claims;

/**
 * A key claimed for one call.
 *
 * @param key what is claimed
 * @param holder random name of the call that claims it
 * @param fingerprint digest of the request, so that the same key with another request is noticed
 * @param state how far the call has come
 * @param runsUntilMillis wall-clock time after which a call that has not been settled counts as unsettled for good, in
 *     milliseconds since the Unix epoch
 * @param expiresAtMillis wall-clock time after which the claim is forgotten, in milliseconds since the Unix epoch
 */
public record Claim(
        ClaimKey key, String holder, String fingerprint, ClaimState state, long runsUntilMillis, long expiresAtMillis) {
    /** Returns this claim in another state. */
    public Claim withState(ClaimState next) {
        return new Claim(key, holder, fingerprint, next, runsUntilMillis, expiresAtMillis);
    }

    /** Returns this claim as it stands at {@code nowMillis}: unsettled if its call should have ended by then. */
    public Claim asOf(long nowMillis) {
        boolean overdue = state instanceof ClaimState.Running && nowMillis > runsUntilMillis;
        return overdue ? withState(new ClaimState.OutcomeUnknown()) : this;
    }
}
