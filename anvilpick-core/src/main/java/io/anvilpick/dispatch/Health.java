package io.anvilpick.dispatch;

/** Whether a target may get calls. */
sealed interface Health {
    /** The target serves. */
    record Serving() implements Health {}

    /**
     * The target failed and gets no calls until a real call tries it again.
     *
     * @param untilNanos monotonic reading from which it may be tried
     * @param failures failures in a row that led here
     */
    record Ejected(long untilNanos, int failures) implements Health {}

    /**
     * The target said that it is draining.
     *
     * @param untilNanos monotonic reading until which it is believed
     */
    record Draining(long untilNanos) implements Health {}
}
