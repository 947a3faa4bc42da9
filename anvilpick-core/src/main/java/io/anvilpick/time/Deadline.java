package io.anvilpick.time;

import java.time.Duration;

/**
 * A point in time on the monotonic clock by which an operation has to end.
 *
 * @param atNanos the value of {@link TimeSource#nanos()} at which the deadline passes
 */
public record Deadline(long atNanos) {
    /** Returns the deadline that passes {@code duration} from now. */
    public static Deadline after(TimeSource time, Duration duration) {
        return new Deadline(time.nanos() + duration.toNanos());
    }

    /** Returns whether the deadline has passed. */
    public boolean hasPassed(TimeSource time) {
        return remainingNanos(time.nanos()) <= 0;
    }

    /** Returns the nanoseconds left at {@code nowNanos}; zero or negative once the deadline has passed. */
    public long remainingNanos(long nowNanos) {
        return atNanos - nowNanos;
    }

    /** Returns the time left; zero once the deadline has passed. */
    public Duration remaining(TimeSource time) {
        return Duration.ofNanos(Math.max(0, remainingNanos(time.nanos())));
    }

    /** Returns the earlier of this deadline and {@code other}. */
    public Deadline earlier(Deadline other) {
        return atNanos - other.atNanos <= 0 ? this : other;
    }
}
