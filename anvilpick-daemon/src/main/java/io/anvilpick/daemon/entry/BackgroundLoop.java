package io.anvilpick.daemon.entry;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;

/**
 * Runs a recurring step of a daemon in a loop on its own virtual thread.
 *
 * <p>An error of any kind in a step is logged, and the step runs again after a pause. The pause grows with each error in a row and
 * is jittered, because the same input may fail on all daemons at once.
 */
final class BackgroundLoop {
    static final Duration INITIAL_PAUSE_AFTER_ERROR = Duration.ofMillis(100);
    static final Duration MAX_PAUSE_AFTER_ERROR = Duration.ofSeconds(2);

    private static final Logger LOG = Logger.getLogger(BackgroundLoop.class);

    private final String name;
    private final Step step;
    private final RandomGenerator random;
    private final Sleeper sleeper;
    private final Runnable faultListener;
    private Duration pauseAfterError = INITIAL_PAUSE_AFTER_ERROR;

    /** One iteration of a loop. */
    @FunctionalInterface
    interface Step {
        /** Runs the iteration and returns the time to sleep until the next one. */
        Duration run() throws InterruptedException;
    }

    /** Blocks the calling thread for a duration. */
    @FunctionalInterface
    interface Sleeper {
        void sleep(Duration duration) throws InterruptedException;
    }

    /**
     * Creates a loop.
     *
     * @param name the name of the loop in log lines
     * @param faultListener is called after each error of the step
     */
    BackgroundLoop(String name, Step step, RandomGenerator random, Sleeper sleeper, Runnable faultListener) {
        this.name = name;
        this.step = step;
        this.random = random;
        this.sleeper = sleeper;
        this.faultListener = faultListener;
    }

    /**
     * Starts a loop on a new thread called {@code name}, which ends only when it is interrupted.
     *
     * @param faultListener is called after each error of the step
     */
    static void start(String name, Step step, Runnable faultListener) {
        BackgroundLoop loop = new BackgroundLoop(name, step, new SplittableRandom(), Thread::sleep, faultListener);
        Thread.ofVirtual().name(name).start(() -> {
            try {
                loop.run();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                LOG.warnf("event=loop_ended name=%s", name);
            }
        });
    }

    /** Runs the step until the thread is interrupted. */
    void run() throws InterruptedException {
        while (true) {
            sleeper.sleep(runStep());
        }
    }

    private Duration runStep() throws InterruptedException {
        try {
            Duration pause = step.run();
            pauseAfterError = INITIAL_PAUSE_AFTER_ERROR;
            return pause;
        } catch (RuntimeException | Error e) {
            Duration pause = nextPauseAfterError();
            report(e, pause);
            return pause;
        }
    }

    /** Counts and logs an error. If that fails too, as without memory, the loop goes on all the same. */
    private void report(Throwable error, Duration pause) {
        try {
            faultListener.run();
            LOG.errorf(error, "event=loop_fault name=%s retry_ms=%d error=%s", name, pause.toMillis(), error);
        } catch (RuntimeException | Error unreported) {
            if (unreported != error) {
                error.addSuppressed(unreported);
            }
        }
    }

    /** Returns a pause from half of the current maximum up to all of it, and doubles the maximum. */
    private Duration nextPauseAfterError() {
        long max = pauseAfterError.toNanos();
        pauseAfterError = Duration.ofNanos(Math.min(2 * max, MAX_PAUSE_AFTER_ERROR.toNanos()));
        return Duration.ofNanos(random.nextLong(max / 2, max + 1));
    }
}
