package io.anvilpick.messages;

/** Asks a replica to stop voting in an epoch of a group and to return its claims. */
public record SealRequest(int group, long epoch) implements PeerRequest {}
