package io.anvilpick.messages;

import io.anvilpick.claims.Claim;

/** Requests the vote of a replica on a claim in an epoch of a group. */
public record ClaimVoteRequest(int group, long epoch, Claim claim) implements PeerRequest {}
