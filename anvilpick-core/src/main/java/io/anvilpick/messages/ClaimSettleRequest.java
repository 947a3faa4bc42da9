package io.anvilpick.messages;

import io.anvilpick.claims.ClaimKey;
import io.anvilpick.claims.ClaimState;

/** Reports the final state of the call that holds a claim to a replica. */
public record ClaimSettleRequest(int group, ClaimKey key, String holder, ClaimState finalState)
        implements PeerRequest {}
