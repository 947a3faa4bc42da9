package io.anvilpick.limits;

import static com.google.common.base.Preconditions.checkArgument;

import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.concurrent.locks.ReentrantLock;

/**
 * A budget for extra calls over a sliding window: a ratio of the ordinary calls plus a fixed allowance. Thread safe
 * under one lock; O(buckets) in time and space.
 *
 * <p>In any span of the window's length it grants at most {@code ratio} times the ordinary calls of the window that
 * ends with the grant, and {@code allowance} more. Daemons that split an allowance among themselves therefore need not
 * exchange how much each has used.
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
        // The newest bucket is only partly elapsed. The window is therefore divided into BUCKETS - 1 parts. All
        // buckets together cover slightly more than the window.
        this.bucketNanos = window.toNanos() / (BUCKETS - 1);
        this.newestBucket = Math.floorDiv(time.nanos(), bucketNanos);
    }

    /**
     * Returns a budget with nothing counted yet.
     *
     * @throws IllegalArgumentException if {@code ratio} or {@code allowance} is negative or {@code window} is shorter
     *     than one nanosecond per bucket
     */
    public static WindowBudget of(TimeSource time, double ratio, double allowance, Duration window) {
        checkArgument(ratio >= 0, "ratio must not be negative: %s", ratio);
        checkArgument(allowance >= 0, "allowance must not be negative: %s", allowance);
        checkArgument(window.toNanos() >= BUCKETS, "window must be positive: %s", window);
        return new WindowBudget(time, ratio, allowance, window);
    }

    /**
     * Sets the ratio of extra to ordinary calls and the allowance on top of it. Calls counted so far remain counted.
     */
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
    public void deposit() {
        lock.lock();
        try {
            ordinary[currentIndex()]++;
        } finally {
            lock.unlock();
        }
    }

    @Override
    public boolean tryWithdraw() {
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

    /** Advances the window to the present and returns the index of its newest bucket. */
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
