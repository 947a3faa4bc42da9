package io.anvilpick.claims.replication;

import io.anvilpick.claims.Claim;
import io.anvilpick.claims.KeyAge;

/** The result of an attempt to claim a key. */
public sealed interface ClaimOutcome {
    /** The call holds the key and may run. */
    record Won(ClaimTicket ticket) implements ClaimOutcome {}

    /** Another call holds the key by the claim {@code holder}, or counts as its holder after repeated contention. */
    record Held(Claim holder) implements ClaimOutcome {}

    /**
     * The key may have been used before, but the claims that would show it have expired or were lost. The call has not
     * run.
     */
    record KeyRejected(KeyAge.Rejection reason) implements ClaimOutcome {}

    /**
     * The claim was not decided by the deadline, for example because too few replicas replied. The call has not run.
     * Replicas were asked to release its claim, but some may hold it until it expires.
     */
    record Unavailable() implements ClaimOutcome {}
}
