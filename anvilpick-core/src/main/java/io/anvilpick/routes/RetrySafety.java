package io.anvilpick.routes;

/** Whether the requests of a route may run more than once. */
public sealed interface RetrySafety {
    /** Requests may run any number of times. */
    record Idempotent() implements RetrySafety {}

    /** Each attempt of the caller runs at most once. The daemon does not resend a request that may have run. */
    record AtMostOncePerAttempt() implements RetrySafety {}
}
