package io.anvilpick.time;

/**
 * Supplies monotonic and wall-clock time.
 *
 * <p>Implementations are thread safe. Every decision takes its time from here, so that tests can drive it in virtual
 * time.
 */
public interface TimeSource {
    /** Returns a monotonic reading in nanoseconds; only differences between two readings have meaning. */
    long nanos();

    /** Returns the wall clock in milliseconds since the Unix epoch. */
    long epochMillis();

    /** Returns the time source of the running machine. */
    static TimeSource system() {
        return SystemTimeSource.INSTANCE;
    }
}
