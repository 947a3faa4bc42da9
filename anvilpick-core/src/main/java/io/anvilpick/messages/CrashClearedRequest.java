package io.anvilpick.messages;

/** Reports that a request suspected of crashing targets has been answered. */
public record CrashClearedRequest(String fingerprint) implements PeerRequest {}
