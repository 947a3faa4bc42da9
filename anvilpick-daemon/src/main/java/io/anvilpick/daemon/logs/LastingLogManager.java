package io.anvilpick.daemon.logs;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers open during shutdown, so that the last lines are written too. Thread safe.
 *
 * <p>The log manager of the JDK closes all handlers as soon as shutdown begins.
 */
public final class LastingLogManager extends LogManager {
    /** Does nothing. Handlers are replaced only by {@link QueuedLogHandler#install}. */
    @Override
    public void reset() {
        // Called by the JDK when shutdown begins.
    }
}
