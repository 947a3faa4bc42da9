package io.anvilpick.messages;

import io.anvilpick.claims.ClaimKey;

/** Tells a replica that the call that holds a claim certainly did not run. */
public record ClaimReleaseRequest(int group, ClaimKey key, String holder) implements PeerRequest {}
