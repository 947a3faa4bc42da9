package io.anvilpick.time;

/** Runs actions after a delay. Implementations are thread safe. Actions must not block. */
@FunctionalInterface
public interface Timer {
    /** Schedules {@code action} to run once, after about {@code delayNanos} nanoseconds. */
    void schedule(long delayNanos, Runnable action);
}
