package io.anvilpick.limits;

import static com.google.common.base.Preconditions.checkArgument;

import io.anvilpick.time.TimeSource;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Spends time at no more than a given rate, with no burst: after spending, the next spending waits until the rate has
 * paid for the last one. Thread safe, each budget under its own lock.
 *
 * <p>In any window of length {@code w} it grants at most {@code w * rate / cost + 1} spendings, whatever state the
 * caller is in; an idle time saves nothing up.
 */
public final class PacedBudget {
    private static final long PER_MILLE = 1_000;

    private final ReentrantLock lock = new ReentrantLock();
    private final TimeSource time;
    private long nextAtNanos;
    private double rate;

    private PacedBudget(TimeSource time, double rate) {
        this.time = time;
        this.rate = rate;
        this.nextAtNanos = time.nanos();
    }

    /**
     * Returns a budget of {@code perMille} thousandths of the time of {@code slots} slots.
     *
     * @throws IllegalArgumentException if either is negative
     */
    public static PacedBudget perMilleOfSlots(TimeSource time, int perMille, double slots) {
        return new PacedBudget(time, rateOf(perMille, slots));
    }

    /** Changes the rate; what was spent before stays paid for at the old rate. */
    public void resize(int perMille, double slots) {
        lock.lock();
        try {
            rate = rateOf(perMille, slots);
        } finally {
            lock.unlock();
        }
    }

    /** Spends {@code costNanos} if the budget allows it now. */
    public boolean trySpend(long costNanos) {
        lock.lock();
        try {
            long now = time.nanos();
            if (rate <= 0 || now - nextAtNanos < 0) {
                return false;
            }
            nextAtNanos = now + (long) Math.ceil(costNanos / rate);
            return true;
        } finally {
            lock.unlock();
        }
    }

    private static double rateOf(int perMille, double slots) {
        checkArgument(perMille >= 0, "perMille must not be negative: %s", perMille);
        checkArgument(slots >= 0, "slots must not be negative: %s", slots);
        return slots * perMille / PER_MILLE;
    }
}
