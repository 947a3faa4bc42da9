package io.anvilpick.daemon.entry;

import java.time.Duration;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * The state of a graceful shutdown. A leaving daemon first redirects callers to other daemons but still serves them. It then
 * refuses new requests, and finally waits for those in flight. Thread safe under its own lock.
 */
final class Shutdown {
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition allEnded = lock.newCondition();
    private boolean refusing;
    private int inFlight;
    private volatile boolean leaving;

    /** Counts a new request as in flight. Returns false, without counting it, if it must be refused. */
    boolean tryBeginRequest() {
        lock.lock();
        try {
            if (refusing) {
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
        return leaving;
    }

    /** Starts the shutdown. New requests are still accepted. */
    void leave() {
        leaving = true;
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
