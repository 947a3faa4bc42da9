package io.anvilpick.daemon.entry;

import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;
import org.jboss.logging.Logger;

/**
 * Which background loops of a daemon have failed for so long, without one success, that they count as stuck. Thread safe; guarded by
 * one lock.
 */
final class LoopHealth {
    /** Many times the maximum pause after an error, so that a loop has tried often before it counts as stuck. */
    static final Duration STUCK_AFTER = Duration.ofSeconds(30);

    private static final Logger LOG = Logger.getLogger(LoopHealth.class);

    private final ReentrantLock lock = new ReentrantLock();
    private final TimeSource time;

    /** The loops whose last step failed, with the time from which they count as stuck. */
    private final Map<String, Failing> failing = new HashMap<>();

    private record Failing(Deadline stuckFrom, boolean logged) {}

    LoopHealth(TimeSource time) {
        this.time = time;
    }

    /** Records that a step of loop {@code name} has ended without an error. */
    void recordSuccess(String name) {
        lock.lock();
        try {
            Failing before = failing.remove(name);
            if (before != null && before.logged()) {
                LOG.warnf("event=loop_recovered name=%s", name);
            }
        } finally {
            lock.unlock();
        }
    }

    /** Records that a step of loop {@code name} has ended with an error. */
    void recordFault(String name) {
        lock.lock();
        try {
            Failing current =
                    failing.computeIfAbsent(name, ignored -> new Failing(Deadline.after(time, STUCK_AFTER), false));
            if (!current.logged() && current.stuckFrom().hasPassed(time)) {
                failing.put(name, new Failing(current.stuckFrom(), true));
                LOG.errorf("event=loop_stuck name=%s failing_s=%d", name, STUCK_AFTER.toSeconds());
            }
        } finally {
            lock.unlock();
        }
    }

    /** Returns the number of loops that are stuck. */
    int stuckLoops() {
        lock.lock();
        try {
            return (int) failing.values().stream()
                    .filter(each -> each.stuckFrom().hasPassed(time))
                    .count();
        } finally {
            lock.unlock();
        }
    }
}
