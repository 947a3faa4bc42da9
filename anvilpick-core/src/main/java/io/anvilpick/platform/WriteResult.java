package io.anvilpick.platform;

/** The result of a compare-and-swap. */
public sealed interface WriteResult {
    /** The write took effect. The key is now at {@code revision}. */
    record Written(long revision) implements WriteResult {}

    /** Another write came first. The key is now at {@code revision}. */
    record Conflict(long revision) implements WriteResult {}
}
