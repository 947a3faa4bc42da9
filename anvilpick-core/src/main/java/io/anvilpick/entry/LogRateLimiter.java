package io.anvilpick.entry;

import io.anvilpick.time.TimeSource;
import java.time.Duration;

/** Lets so many log lines through in each second and counts the others. Thread safe under its own lock. */
final class LogRateLimiter {
    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();

    private final TimeSource time;
    private final int mostPerSecond;
    private long secondStartNanos;
    private int lines;
    private long passedOver;

    LogRateLimiter(TimeSource time, int mostPerSecond) {
        this.time = time;
        this.mostPerSecond = mostPerSecond;
        this.secondStartNanos = time.nanos();
    }

    /** Returns whether a line may be written now. */
    synchronized boolean tryTake() {
        long now = time.nanos();
        if (now - secondStartNanos >= SECOND_NANOS) {
            secondStartNanos = now;
            lines = 0;
        }
        if (lines >= mostPerSecond) {
            passedOver++;
            return false;
        }
        lines++;
        return true;
    }

    /** Returns the lines passed over since the last call. */
    synchronized long takePassedOver() {
        long count = passedOver;
        passedOver = 0;
        return count;
    }
}
