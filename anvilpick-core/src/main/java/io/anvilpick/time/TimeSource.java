package io.anvilpick.time;

/**
 * Supplies monotonic and wall-clock time.
 *
 * <p>Implementations are thread safe. All decisions read the time from here, which allows tests to run in virtual time.
 */
public interface TimeSource {
    /** Returns the monotonic clock in nanoseconds; only the difference of two values is meaningful. */
    long nanos();

    /** Returns the wall clock in milliseconds since the Unix epoch. */
    long epochMillis();

    /** Returns the time source backed by the clocks of this VM. */
    static TimeSource system() {
        return SystemTimeSource.INSTANCE;
    }
}
