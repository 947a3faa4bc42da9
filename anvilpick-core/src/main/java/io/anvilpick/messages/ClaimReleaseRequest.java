package io.anvilpick.messages;

import io.anvilpick.claims.ClaimKey;

/** Asks a replica to remove the claim of a call that certainly did not run. */
public record ClaimReleaseRequest(int group, ClaimKey key, String holder) implements PeerRequest {}
