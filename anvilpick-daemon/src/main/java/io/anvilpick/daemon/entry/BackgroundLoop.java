package io.anvilpick.daemon.entry;

import java.time.Duration;
import org.jboss.logging.Logger;

/** Runs the recurring steps of a daemon, each in a loop on its own virtual thread. */
final class BackgroundLoop {
    private static final Logger LOG = Logger.getLogger(BackgroundLoop.class);

    private BackgroundLoop() {}

    /** One iteration of a loop. */
    @FunctionalInterface
    interface Step {
        /** Runs the iteration and returns the time to sleep until the next one. */
        Duration run() throws InterruptedException;
    }

    /**
     * Runs {@code step} until its thread is interrupted or the step throws an unchecked exception. Either end is logged.
     *
     * @param name the name of the thread, and of the loop in log lines
     */
    static void start(String name, Step step) {
        Thread.ofVirtual().name(name).start(() -> {
            try {
                while (true) {
                    Thread.sleep(step.run());
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                LOG.warnf("event=loop_ended name=%s", name);
            } catch (RuntimeException e) {
                LOG.errorf(e, "event=loop_fault name=%s error=%s", name, e);
            }
        });
    }
}
