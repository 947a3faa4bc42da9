package io.anvilpick.daemon.target.connections;

import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.concurrent.locks.ReentrantLock;

/**
 * The maximum idle time of a connection that a request may reuse, derived from targets that dropped idle connections. Thread safe
 * under its own lock.
 *
 * <p>A target that dropped an idle connection without notice answers the next bytes with an immediate reset. A target that exits
 * may do the same. The limit therefore applies only for some time after each such reset. It applies to all targets.
 */
final class IdleReuseLimit {
    /** Minimum idle time: a reset after a shorter one is no evidence of a dropped idle connection. */
    private static final Duration MIN_IDLE_TIME = Duration.ofMillis(100);

    /** Maximum delay of a reset after the request: a later one may belong to a request that ran. */
    private static final Duration MAX_RESET_DELAY = Duration.ofMillis(50);

    /** Time for which the limit applies after a reset. */
    private static final Duration VALIDITY = Duration.ofSeconds(10);

    /** The limit as a fraction of the idle time after which a connection was reset. */
    private static final double SAFE_FRACTION = 0.8;

    private final ReentrantLock lock = new ReentrantLock();
    private final TimeSource time;
    private Duration limit = Duration.ZERO;
    private Deadline validUntil;

    IdleReuseLimit(TimeSource time) {
        this.time = time;
        this.validUntil = Deadline.after(time, Duration.ZERO);
    }

    /**
     * Records that a request was lost {@code elapsed} after it was sent on a connection that had been idle for
     * {@code idleTime}.
     */
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

    /** Returns whether the target may have dropped a connection that has been idle for {@code idleTime}. */
    boolean isExceeded(Duration idleTime) {
        lock.lock();
        try {
            return !validUntil.hasPassed(time) && idleTime.compareTo(limit) > 0;
        } finally {
            lock.unlock();
        }
    }
}
