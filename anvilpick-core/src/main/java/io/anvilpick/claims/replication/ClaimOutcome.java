package io.anvilpick.claims.replication;

import io.anvilpick.claims.Claim;
import io.anvilpick.claims.KeyAge;

/** How an attempt to claim a key ended. */
public sealed interface ClaimOutcome {
    /** The call holds the key and may run. */
    record Won(ClaimTicket ticket) implements ClaimOutcome {}

    /** Another call holds the key. */
    record Held(Claim holder) implements ClaimOutcome {}

    /** Whether the key was used before cannot be told. */
    record KeyRejected(KeyAge.Rejection reason) implements ClaimOutcome {}

    /** Too few replicas answered in time; the call has not run and holds nothing. */
    record Unavailable() implements ClaimOutcome {}
}
