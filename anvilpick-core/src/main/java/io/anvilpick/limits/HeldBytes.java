package io.anvilpick.limits;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A bounded count of the bytes of bodies that a daemon holds. A daemon at the bound rejects new calls instead of
 * running out of memory. Thread safe; O(1), without locks.
 *
 * <p>The bound applies to bodies that are still arriving. An answer that arrives may in addition hold no more than it leaves free
 * for others, so that answers without end leave room for small bodies. A complete answer is counted but never rejected, because a
 * call that has run must not lose its answer.
 */
public final class HeldBytes {
    /** The bound divided by this is what an exchange leaves free while no other holds a body. */
    private static final int SOLE_EXCHANGE_RESERVE_DIVISOR = 32;

    private final long maxBytes;
    private final AtomicLong held = new AtomicLong();

    private HeldBytes(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Returns a count that accepts new bodies as long as the total is at most {@code bytes}.
     *
     * @throws IllegalArgumentException if {@code bytes} is not positive
     */
    public static HeldBytes atMost(long bytes) {
        checkArgument(bytes > 0, "bytes must be positive: %s", bytes);
        return new HeldBytes(bytes);
    }

    /** Adds {@code bytes} if the total stays within the bound; returns whether it does. */
    public boolean tryHold(long bytes) {
        checkArgument(bytes >= 0, "bytes must not be negative: %s", bytes);
        if (held.addAndGet(bytes) <= maxBytes) {
            return true;
        }
        held.addAndGet(-bytes);
        return false;
    }

    /**
     * Adds {@code bytes} that have arrived of an answer, and returns whether its exchange may hold them. It may hold as much as it
     * leaves free. While no other exchange holds a body, it may hold all but a 32nd of the bound. Adds nothing otherwise.
     *
     * @param own the bytes that the exchange holds already, with those of its request
     */
    public boolean tryHoldAnswer(long own, long bytes) {
        checkArgument(own >= 0, "own must not be negative: %s", own);
        checkArgument(bytes >= 0, "bytes must not be negative: %s", bytes);
        long total = held.addAndGet(bytes);
        if (total + reserveOf(own + bytes, total) <= maxBytes) {
            return true;
        }
        held.addAndGet(-bytes);
        return false;
    }

    /** Returns the bytes that an exchange has to leave free if it holds {@code own} of {@code total}. */
    private long reserveOf(long own, long total) {
        return total <= own ? Math.min(own, maxBytes / SOLE_EXCHANGE_RESERVE_DIVISOR) : own;
    }

    /** Adds {@code bytes} regardless of the bound. */
    public void hold(long bytes) {
        checkArgument(bytes >= 0, "bytes must not be negative: %s", bytes);
        held.addAndGet(bytes);
    }

    /** Subtracts {@code bytes}. */
    public void release(long bytes) {
        checkArgument(bytes >= 0, "bytes must not be negative: %s", bytes);
        held.addAndGet(-bytes);
    }

    /** Returns the number of bytes held. */
    public long held() {
        return held.get();
    }
}
