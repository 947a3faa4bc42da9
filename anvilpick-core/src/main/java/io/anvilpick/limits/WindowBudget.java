package io.anvilpick.limits;

import static com.google.common.base.Preconditions.checkArgument;

import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Allows extra calls up to a share of the ordinary calls and an allowance, both over a sliding window. Thread safe under one
 * lock; O(buckets) in time and space.
 *
 * <p>In any span of the window's length it grants at most {@code ratio} times the ordinary calls of the window that ends
 * with the grant, and {@code allowance} more. Daemons that split an allowance among themselves need not talk about what
 * each has spent.
 */
public final class WindowBudget implements ExtraCallBudget {
    private static final int BUCKETS = 40;

    private final ReentrantLock lock = new ReentrantLock();
    private final TimeSource time;
    private double ratio;
    private double allowance;
    private final long bucketNanos;
    private final int[] ordinary = new int[BUCKETS];
    private final int[] extra = new int[BUCKETS];
    private long newestBucket;

    private WindowBudget(TimeSource time, double ratio, double allowance, Duration window) {
        this.time = time;
        this.ratio = ratio;
        this.allowance = allowance;
        // One bucket is always partly in the past, so that the buckets together cover a little more than the window.
        this.bucketNanos = window.toNanos() / (BUCKETS - 1);
        this.newestBucket = Math.floorDiv(time.nanos(), bucketNanos);
    }

    /**
     * Returns a budget.
     *
     * @throws IllegalArgumentException if a figure is negative or the window is not positive
     */
    public static WindowBudget of(TimeSource time, double ratio, double allowance, Duration window) {
        checkArgument(ratio >= 0, "ratio must not be negative: %s", ratio);
        checkArgument(allowance >= 0, "allowance must not be negative: %s", allowance);
        checkArgument(window.toNanos() >= BUCKETS, "window must be positive: %s", window);
        return new WindowBudget(time, ratio, allowance, window);
    }

    /** Sets the share of the ordinary calls and the calls allowed on top; what was counted stays. */
    public void setLimits(double newRatio, double newAllowance) {
        lock.lock();
        try {
            ratio = newRatio;
            allowance = newAllowance;
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void earn() {
        lock.lock();
        try {
            ordinary[currentIndex()]++;
        } finally {
            lock.unlock();
        }
    }

    @Override
    public boolean tryTake() {
        lock.lock();
        try {
            int index = currentIndex();
            if (sum(extra) + 1 > ratio * sum(ordinary) + allowance) {
                return false;
            }
            extra[index]++;
            return true;
        } finally {
            lock.unlock();
        }
    }

    /** Moves the window to the present and returns the index of its newest bucket. */
    private int currentIndex() {
        long bucket = Math.floorDiv(time.nanos(), bucketNanos);
        long steps = Math.min(BUCKETS, bucket - newestBucket);
        for (long i = 1; i <= steps; i++) {
            int index = Math.floorMod(newestBucket + i, BUCKETS);
            ordinary[index] = 0;
            extra[index] = 0;
        }
        newestBucket = Math.max(newestBucket, bucket);
        return Math.floorMod(newestBucket, BUCKETS);
    }

    private static int sum(int[] counts) {
        int sum = 0;
        for (int count : counts) {
            sum += count;
        }
        return sum;
    }
}
