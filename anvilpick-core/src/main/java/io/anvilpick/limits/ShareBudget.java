package io.anvilpick.limits;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.concurrent.locks.ReentrantLock;

/**
 * A token bucket that allows extra calls up to a percentage of the ordinary calls. Thread safe, each budget under its
 * own lock.
 *
 * <p>Over any sequence of {@code n} ordinary calls it grants at most {@code n * percent / 100 + reserve} extra calls.
 */
public final class ShareBudget implements ExtraCallBudget {
    private static final int PERCENT = 100;

    private final ReentrantLock lock = new ReentrantLock();
    private final int percent;
    private final long maxCredit;
    private long credit;

    private ShareBudget(int percent, int reserve) {
        this.percent = percent;
        this.maxCredit = (long) reserve * PERCENT;
        this.credit = maxCredit;
    }

    /**
     * Returns a budget of {@code percent} percent of the ordinary calls. It starts with a full reserve of
     * {@code reserve} calls.
     *
     * @throws IllegalArgumentException if {@code percent} or {@code reserve} is negative
     */
    public static ShareBudget ofPercent(int percent, int reserve) {
        checkArgument(percent >= 0, "percent must not be negative: %s", percent);
        checkArgument(reserve >= 0, "reserve must not be negative: %s", reserve);
        return new ShareBudget(percent, reserve);
    }

    @Override
    public void deposit() {
        lock.lock();
        try {
            credit = Math.min(maxCredit, credit + percent);
        } finally {
            lock.unlock();
        }
    }

    @Override
    public boolean tryWithdraw() {
        lock.lock();
        try {
            if (credit < PERCENT) {
                return false;
            }
            credit -= PERCENT;
            return true;
        } finally {
            lock.unlock();
        }
    }
}
