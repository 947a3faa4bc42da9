package io.anvilpick.entry;

import io.anvilpick.time.TimeSource;
import java.time.Duration;

/** Limits the log lines written in each second and counts the skipped ones. Thread safe under its own lock. */
final class LogRateLimiter {
    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();

    private final TimeSource time;
    private final int maxPerSecond;
    private long secondStartNanos;
    private int lines;
    private long skipped;

    LogRateLimiter(TimeSource time, int maxPerSecond) {
        this.time = time;
        this.maxPerSecond = maxPerSecond;
        this.secondStartNanos = time.nanos();
    }

    /** Returns whether a line may be written now. Counts the line as written or skipped. */
    synchronized boolean tryAcquire() {
        long now = time.nanos();
        if (now - secondStartNanos >= SECOND_NANOS) {
            secondStartNanos = now;
            lines = 0;
        }
        if (lines >= maxPerSecond) {
            skipped++;
            return false;
        }
        lines++;
        return true;
    }

    /** Returns the number of lines skipped since the last call of this method. */
    synchronized long takeSkipped() {
        long count = skipped;
        skipped = 0;
        return count;
    }
}
