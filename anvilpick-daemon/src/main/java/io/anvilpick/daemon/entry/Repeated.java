package io.anvilpick.daemon.entry;

import java.time.Duration;
import org.jboss.logging.Logger;

/** Starts what a daemon does again and again, each on a virtual thread of its own. */
final class Repeated {
    private static final Logger LOG = Logger.getLogger(Repeated.class);

    private Repeated() {}

    /** One step, which says how long to pause until the next. */
    @FunctionalInterface
    interface Step {
        Duration run() throws InterruptedException;
    }

    /** Runs {@code step} until its thread is interrupted or it fails, which is logged. */
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
