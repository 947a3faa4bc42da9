package io.anvilpick.routes;

/** What protects a request of a route from running more than once. */
public sealed interface RetrySafety {
    /** Nothing: running it again is harmless. */
    record Idempotent() implements RetrySafety {}

    /** Each attempt of the caller runs once at most; the daemon never sends it again once it may have run. */
    record AtMostOncePerAttempt() implements RetrySafety {}
}
