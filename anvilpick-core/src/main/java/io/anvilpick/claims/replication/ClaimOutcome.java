package io.anvilpick.claims.replication;

import io.anvilpick.claims.Claim;
import io.anvilpick.claims.KeyAge;

/** The result of an attempt to claim a key. */
public sealed interface ClaimOutcome {
    /** The call holds the key and may run. */
    record Won(ClaimTicket ticket) implements ClaimOutcome {}

    /** Another call holds the key, by the claim {@code holder}. */
    record Held(Claim holder) implements ClaimOutcome {}

    /** The records do not show whether the key was used before. */
    record KeyRejected(KeyAge.Rejection reason) implements ClaimOutcome {}

    /** Too few replicas replied in time. The call has not run and holds no claim. */
    record Unavailable() implements ClaimOutcome {}
}
