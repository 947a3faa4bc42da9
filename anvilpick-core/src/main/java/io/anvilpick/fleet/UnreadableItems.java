package io.anvilpick.fleet;

import com.google.common.collect.Iterables;
import io.anvilpick.fleet.FleetChange.Subject;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.jboss.logging.Logger;

/**
 * The items of the store that cannot be read. Logs an item when it becomes unreadable or its reason changes, not at each read.
 * Not thread safe, but the counts and the unreadable configuration may be read by any thread.
 */
final class UnreadableItems {
    /** Items that are remembered as logged. Any client of the store may write more of them. */
    private static final int MAX_REMEMBERED = 1_000;

    private static final Logger LOG = Logger.getLogger(UnreadableItems.class);

    private final Map<Subject, String> loggedReasons = new LinkedHashMap<>();
    private volatile UnreadableCounts counts = UnreadableCounts.none();
    private volatile Optional<Subject.Configuration> newerConfiguration = Optional.empty();

    UnreadableCounts counts() {
        return counts;
    }

    /** Returns the configuration in the store, if it is unreadable and not known to be older than the one in force. */
    Optional<Subject.Configuration> newerConfiguration() {
        return newerConfiguration;
    }

    /** Records that an item was read that is unreadable while configuration {@code versionInForce} is in force; 0 for none. */
    void add(FleetChange.Unreadable item, long versionInForce) {
        counts = counts.plus(item.subject());
        if (item.subject() instanceof Subject.Configuration configuration
                && configuration.version().orElse(Long.MAX_VALUE) > versionInForce) {
            newerConfiguration = Optional.of(configuration);
        }
        if (item.reason().equals(loggedReasons.put(item.subject(), item.reason()))) {
            return;
        }
        if (loggedReasons.size() > MAX_REMEMBERED) {
            loggedReasons.remove(Iterables.get(loggedReasons.keySet(), 0));
        }
        log(item, versionInForce);
    }

    private static void log(FleetChange.Unreadable item, long versionInForce) {
        switch (item.subject()) {
            case Subject.Configuration(OptionalLong version) ->
                LOG.errorf(
                        "event=configuration_unreadable key=%s version=%s in_force=%d reason=\"%s\"",
                        item.key(),
                        version.isPresent() ? String.valueOf(version.getAsLong()) : "unknown",
                        versionInForce,
                        item.reason());
            case Subject.Target ignored -> logEntry(item);
            case Subject.Member ignored -> logEntry(item);
            case Subject.CrashReports ignored -> logEntry(item);
            case Subject.Other ignored -> logEntry(item);
        }
    }

    private static void logEntry(FleetChange.Unreadable item) {
        LOG.warnf("event=entry_unreadable key=%s reason=\"%s\"", item.key(), item.reason());
    }

    /** Records that a registration was read, so that it is logged again if it becomes unreadable later. */
    void remove(Subject registration) {
        loggedReasons.remove(registration);
    }

    /** Records that configuration {@code version} was read. An older one may still come from another daemon. */
    void removeConfiguration(long version) {
        if (newerConfiguration.isPresent()
                && version >= newerConfiguration.get().version().orElse(0)) {
            loggedReasons.remove(newerConfiguration.get());
            newerConfiguration = Optional.empty();
        }
    }
}
