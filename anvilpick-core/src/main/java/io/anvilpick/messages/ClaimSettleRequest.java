package io.anvilpick.messages;

import io.anvilpick.claims.ClaimKey;
import io.anvilpick.claims.ClaimState;

/** Tells a replica how the call that holds a claim ended. */
public record ClaimSettleRequest(int group, ClaimKey key, String holder, ClaimState finalState)
        implements PeerRequest {}
