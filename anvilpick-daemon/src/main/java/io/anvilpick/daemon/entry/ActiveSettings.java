package io.anvilpick.daemon.entry;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import org.jboss.logging.Logger;

/** The active settings of a daemon. Thread safe. */
final class ActiveSettings {
    private static final Logger LOG = Logger.getLogger(ActiveSettings.class);

    private volatile EntrySettings current;

    ActiveSettings(EntrySettings initial) {
        this.current = initial;
    }

    EntrySettings current() {
        return current;
    }

    /**
     * Adopts those values of {@code next} that need no restart, and returns the resulting settings. Logs the names of the adopted
     * settings and of those that need a restart. Called by one thread at a time.
     */
    EntrySettings apply(EntrySettings next) {
        EntrySettings before = current;
        EntrySettings after = before.reloaded(next);
        ImmutableSet<String> needRestart = after.differences(next);
        current = after;
        LOG.infof(
                "event=settings_reloaded changed=%s needing_restart=%s",
                String.join(",", Sets.difference(before.differences(next), needRestart)),
                String.join(",", needRestart));
        return after;
    }
}
