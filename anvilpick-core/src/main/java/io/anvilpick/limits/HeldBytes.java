package io.anvilpick.limits;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts the bytes of bodies that a daemon holds, so that it refuses new calls rather than run out of memory. Thread safe;
 * O(1), without locks.
 *
 * <p>The bound is on what is taken in: answers to calls that were let in are counted too, but never refused, since a call
 * that ran must not lose its answer.
 */
public final class HeldBytes {
    private final long most;
    private final AtomicLong held = new AtomicLong();

    private HeldBytes(long most) {
        this.most = most;
    }

    /** Returns a count that lets bodies in while at most {@code bytes} are held. */
    public static HeldBytes atMost(long bytes) {
        checkArgument(bytes > 0, "bytes must be positive: %s", bytes);
        return new HeldBytes(bytes);
    }

    /** Counts {@code bytes} if they fit; returns whether they do. */
    public boolean tryHold(long bytes) {
        checkArgument(bytes >= 0, "bytes must not be negative: %s", bytes);
        if (held.addAndGet(bytes) <= most) {
            return true;
        }
        held.addAndGet(-bytes);
        return false;
    }

    /** Counts {@code bytes} that are there already. */
    public void hold(long bytes) {
        checkArgument(bytes >= 0, "bytes must not be negative: %s", bytes);
        held.addAndGet(bytes);
    }

    /** Counts {@code bytes} no longer. */
    public void release(long bytes) {
        checkArgument(bytes >= 0, "bytes must not be negative: %s", bytes);
        held.addAndGet(-bytes);
    }

    /** Returns the bytes held now. */
    public long held() {
        return held.get();
    }
}
