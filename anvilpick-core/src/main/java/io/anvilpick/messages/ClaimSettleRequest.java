package io.anvilpick.messages;

import io.anvilpick.claims.ClaimKey;
import io.anvilpick.claims.ClaimState;

/** Reports to a replica the final state of the call that holds a claim. */
public record ClaimSettleRequest(int group, ClaimKey key, String holder, ClaimState finalState)
        implements PeerRequest {}
