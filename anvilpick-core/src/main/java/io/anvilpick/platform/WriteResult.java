package io.anvilpick.platform;

/** The platform's answer to a compare-and-swap. */
public sealed interface WriteResult {
    /** The write took effect and gave the key {@code revision}. */
    record Written(long revision) implements WriteResult {}

    /** Another write came first; the key is now at {@code revision}. */
    record Conflict(long revision) implements WriteResult {}
}
