package io.anvilpick.time;

/** Calls back later. Implementations are thread safe; a call back must not block. */
@FunctionalInterface
public interface Alarm {
    /** Runs {@code action} once, about {@code nanos} nanoseconds from now. */
    void after(long nanos, Runnable action);
}
