package io.anvilpick.daemon.entry;

import java.time.Duration;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Ends the process when its heap stays full. Such a process neither serves nor ends by itself, and only its end makes the platform
 * start it again.
 *
 * <p>A heap that looks full may hold garbage only, so a check then allocates a small part of it. One request with a large body may
 * exhaust the heap for a moment, which its own error handling survives, so only several failed checks in a row count. The guard runs
 * on a platform thread, because virtual threads do not continue without memory.
 */
public final class HeapGuard implements Runnable {
    static final int FAILED_CHECKS_TO_END = 3;

    private static final Logger LOG = Logger.getLogger(HeapGuard.class);
    private static final Duration CHECK_INTERVAL = Duration.ofSeconds(1);

    /** The maximum heap divided by this is what a check allocates. */
    private static final int CHECKED_PART_DIVISOR = 48;

    private final Runnable check;
    private final Pause pause;
    private final Runnable end;

    /** Blocks until the next check. */
    @FunctionalInterface
    interface Pause {
        void await() throws InterruptedException;
    }

    /** Allocates {@link #bytes}, unless twice that is free without a collection. */
    private static final class Allocation implements Runnable {
        private final Runtime runtime = Runtime.getRuntime();
        private final int bytes = (int) Math.min(Integer.MAX_VALUE / 2, runtime.maxMemory() / CHECKED_PART_DIVISOR);

        /** Volatile, so that no compiler omits the allocation. */
        private volatile byte @Nullable [] allocated;

        @Override
        public void run() {
            if (runtime.maxMemory() - runtime.totalMemory() + runtime.freeMemory() < 2L * bytes) {
                allocated = new byte[bytes];
                allocated = null;
            }
        }
    }

    /**
     * Creates a guard.
     *
     * @param check throws {@link OutOfMemoryError} if the heap is full
     * @param end ends the process
     */
    HeapGuard(Runnable check, Pause pause, Runnable end) {
        this.check = check;
        this.pause = pause;
        this.end = end;
    }

    /**
     * Starts to check the heap on a new thread.
     *
     * @param end ends the process; must not need memory
     */
    public static void start(Runnable end) {
        HeapGuard guard = new HeapGuard(new Allocation(), () -> Thread.sleep(CHECK_INTERVAL), end);
        Thread.ofPlatform().daemon().name("heap-guard").start(guard);
    }

    /** Checks the heap until it stays full or the thread is interrupted. */
    @Override
    public void run() {
        int failedChecks = 0;
        while (failedChecks < FAILED_CHECKS_TO_END) {
            try {
                pause.await();
                check.run();
                failedChecks = 0;
            } catch (OutOfMemoryError e) {
                failedChecks++;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
        try {
            LOG.error("event=heap_exhausted");
        } finally {
            end.run();
        }
    }
}
