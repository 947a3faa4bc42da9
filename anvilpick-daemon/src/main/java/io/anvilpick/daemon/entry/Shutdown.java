package io.anvilpick.daemon.entry;

import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.jspecify.annotations.Nullable;

/**
 * The state of a graceful shutdown. A leaving daemon first redirects callers to other daemons but still serves them. It then
 * refuses new requests, and finally waits for those in flight. Thread safe under its own lock.
 */
final class Shutdown {
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition allEnded = lock.newCondition();
    private final TimeSource time;
    private boolean refusing;
    private int inFlight;

    /** The time until which new requests are accepted; null before the shutdown. */
    private volatile @Nullable Deadline acceptBy;

    Shutdown(TimeSource time) {
        this.time = time;
    }

    /** Counts a new request as in flight. Returns false, without counting it, if it must be refused. */
    boolean tryBeginRequest() {
        lock.lock();
        try {
            if (refusing || !mayStart()) {
                return false;
            }
            inFlight++;
            return true;
        } finally {
            lock.unlock();
        }
    }

    /** Ends a request that {@link #tryBeginRequest} has accepted. */
    void endRequest() {
        lock.lock();
        try {
            inFlight--;
            if (inFlight == 0) {
                allEnded.signalAll();
            }
        } finally {
            lock.unlock();
        }
    }

    /** Returns whether shutdown has begun. */
    boolean isLeaving() {
        return acceptBy != null;
    }

    /** Starts the shutdown. New requests are accepted until {@code acceptUntil}, whenever the stop goes on. */
    void leave(Deadline acceptUntil) {
        acceptBy = acceptUntil;
    }

    /** Returns whether a request may still start: one that was accepted but read or scheduled too late may not. */
    boolean mayStart() {
        Deadline end = acceptBy;
        return end == null || !end.hasPassed(time);
    }

    /** Makes {@link #tryBeginRequest} refuse all new requests. */
    void refuseRequests() {
        lock.lock();
        try {
            refusing = true;
        } finally {
            lock.unlock();
        }
    }

    /** Returns the number of requests in flight. */
    int inFlight() {
        lock.lock();
        try {
            return inFlight;
        } finally {
            lock.unlock();
        }
    }

    /** Blocks until no request is in flight or {@code timeout} has elapsed, and returns whether none is in flight. */
    boolean awaitIdle(Duration timeout) throws InterruptedException {
        lock.lock();
        try {
            long remainingNanos = timeout.toNanos();
            while (inFlight > 0 && remainingNanos > 0) {
                remainingNanos = allEnded.awaitNanos(remainingNanos);
            }
            return inFlight == 0;
        } finally {
            lock.unlock();
        }
    }
}
