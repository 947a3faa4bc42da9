package io.anvilpick.daemon.target.connections;

import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.concurrent.locks.ReentrantLock;

/**
 * How long a connection may have rested before a request goes over it, learnt from targets that had forgotten theirs. Thread safe
 * under its own lock.
 *
 * <p>A target that drops an idle connection without notice resets what is sent next, at once. That may happen to a target that
 * ends, too, so the limit holds only for a while after each such reset.
 */
final class IdleReuseLimit {
    /** A reset after less rest says nothing of idle connections. */
    private static final Duration MIN_IDLE_TIME = Duration.ofMillis(100);

    /** A reset that comes later belongs to a request that ran. */
    private static final Duration MAX_RESET_DELAY = Duration.ofMillis(50);

    private static final Duration VALIDITY = Duration.ofSeconds(10);

    /** Part of the rest after which a connection was found forgotten that the next ones may rest. */
    private static final double SAFE_FRACTION = 0.8;

    private final ReentrantLock lock = new ReentrantLock();
    private final TimeSource time;
    private Duration limit = Duration.ZERO;
    private Deadline validUntil;

    IdleReuseLimit(TimeSource time) {
        this.time = time;
        this.validUntil = Deadline.after(time, Duration.ZERO);
    }

    /** Notes that a request over a connection that had rested was lost {@code elapsed} after it was sent. */
    void recordLost(Duration idleTime, Duration elapsed) {
        if (idleTime.compareTo(MIN_IDLE_TIME) < 0 || elapsed.compareTo(MAX_RESET_DELAY) > 0) {
            return;
        }
        Duration safe = Duration.ofMillis((long) (idleTime.toMillis() * SAFE_FRACTION));
        lock.lock();
        try {
            boolean isValid = !validUntil.hasPassed(time);
            limit = isValid && limit.compareTo(safe) < 0 ? limit : safe;
            validUntil = Deadline.after(time, VALIDITY);
        } finally {
            lock.unlock();
        }
    }

    /** Returns whether a connection that has rested for so long may have been forgotten by its target. */
    boolean isExceeded(Duration idleTime) {
        lock.lock();
        try {
            return !validUntil.hasPassed(time) && idleTime.compareTo(limit) > 0;
        } finally {
            lock.unlock();
        }
    }
}
