package io.anvilpick.limits;

import static com.google.common.base.Preconditions.checkArgument;

import io.anvilpick.time.TimeSource;
import java.util.concurrent.locks.ReentrantLock;

/**
 * A rate limiter for the time that targets spend on trial calls, which test whether an ejected target has recovered.
 * It permits no bursts: after each expenditure, the next is denied until the rate has paid for it. Thread safe, each
 * budget under its own lock.
 *
 * <p>In any window of length {@code w} it grants at most {@code w * rate / cost + 1} expenditures, whatever the state
 * of its user. Idle time accumulates no credit.
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
     * @throws IllegalArgumentException if {@code perMille} or {@code slots} is negative
     */
    public static PacedBudget perMilleOfSlots(TimeSource time, int perMille, double slots) {
        return new PacedBudget(time, rateOf(perMille, slots));
    }

    /**
     * Changes the rate. Earlier expenditures remain charged at the old rate.
     *
     * @throws IllegalArgumentException if {@code perMille} or {@code slots} is negative
     */
    public void resize(int perMille, double slots) {
        lock.lock();
        try {
            rate = rateOf(perMille, slots);
        } finally {
            lock.unlock();
        }
    }

    /** Spends {@code costNanos} if the budget allows it now; returns whether it does. */
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
