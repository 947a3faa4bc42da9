package io.anvilpick.messages;

/** Tells that a request suspected of crashing targets has been answered. */
public record AcquitRequest(String fingerprint) implements PeerRequest {}
