package io.anvilpick.dispatch;

/** The health of a target, which decides whether it receives calls. */
sealed interface Health {
    /** The target receives calls. */
    record Serving() implements Health {}

    /**
     * The target failed. Unless all targets are ejected, it receives no calls until a trial call or a probe tests its
     * recovery.
     *
     * @param untilNanos the monotonic clock reading from which it may be tested
     * @param failures the number of consecutive failures that caused the ejection
     */
    record Ejected(long untilNanos, int failures) implements Health {}

    /**
     * Another target was found at its address.
     *
     * @param untilNanos the monotonic clock reading until which that holds
     */
    record Replaced(long untilNanos) implements Health {}
}
