package io.anvilpick.fleet;

/**
 * How often an unreadable item was read from the store, by what the item describes. An item that is read again counts again.
 */
public record UnreadableCounts(long configurations, long targets, long members, long others) {
    /** Returns counts that are all zero. */
    public static UnreadableCounts none() {
        return new UnreadableCounts(0, 0, 0, 0);
    }

    /** Returns the counts after one more item that describes {@code subject}. */
    UnreadableCounts plus(FleetChange.Subject subject) {
        return switch (subject) {
            case FleetChange.Subject.Configuration ignored ->
                new UnreadableCounts(configurations + 1, targets, members, others);
            case FleetChange.Subject.Target ignored ->
                new UnreadableCounts(configurations, targets + 1, members, others);
            case FleetChange.Subject.Member ignored ->
                new UnreadableCounts(configurations, targets, members + 1, others);
            case FleetChange.Subject.CrashReports ignored ->
                new UnreadableCounts(configurations, targets, members, others + 1);
            case FleetChange.Subject.Other ignored ->
                new UnreadableCounts(configurations, targets, members, others + 1);
        };
    }
}
