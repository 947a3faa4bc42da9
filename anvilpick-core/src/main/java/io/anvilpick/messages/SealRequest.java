package io.anvilpick.messages;

/** Asks a replica to vote no more in an epoch of a group and to hand over its claims. */
public record SealRequest(int group, long epoch) implements PeerRequest {}
