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
final class RestLimit {
    /** A reset after less rest says nothing of idle connections. */
    private static final Duration LEAST_REST = Duration.ofMillis(100);

    /** A reset that comes later belongs to a request that ran. */
    private static final Duration LATEST_RESET = Duration.ofMillis(50);

    private static final Duration HOLDS_FOR = Duration.ofSeconds(10);

    /** Part of the rest after which a connection was found forgotten that the next ones may rest. */
    private static final double SAFE_PART = 0.8;

    private final ReentrantLock lock = new ReentrantLock();
    private final TimeSource time;
    private Duration limit = Duration.ZERO;
    private Deadline holdsUntil;

    RestLimit(TimeSource time) {
        this.time = time;
        this.holdsUntil = Deadline.after(time, Duration.ZERO);
    }

    /** Notes that a request over a connection that had rested was lost {@code elapsed} after it was sent. */
    void noteLost(Duration rested, Duration elapsed) {
        if (rested.compareTo(LEAST_REST) < 0 || elapsed.compareTo(LATEST_RESET) > 0) {
            return;
        }
        Duration safe = Duration.ofMillis((long) (rested.toMillis() * SAFE_PART));
        lock.lock();
        try {
            boolean holds = !holdsUntil.hasPassed(time);
            limit = holds && limit.compareTo(safe) < 0 ? limit : safe;
            holdsUntil = Deadline.after(time, HOLDS_FOR);
        } finally {
            lock.unlock();
        }
    }

    /** Returns whether a connection that has rested for so long may have been forgotten by its target. */
    boolean isOver(Duration rested) {
        lock.lock();
        try {
            return !holdsUntil.hasPassed(time) && rested.compareTo(limit) > 0;
        } finally {
            lock.unlock();
        }
    }
}
