package io.anvilpick.time;

/** Calls back later. Implementations are thread safe; a call back must not block. */
@FunctionalInterface
public interface Timer {
    /** Runs {@code action} once, about {@code delayNanos} nanoseconds from now. */
    void schedule(long delayNanos, Runnable action);
}
