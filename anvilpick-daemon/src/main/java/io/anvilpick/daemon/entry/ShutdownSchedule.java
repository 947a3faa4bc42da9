package io.anvilpick.daemon.entry;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * The times of a stop within the grace that a process has.
 *
 * @param serving time for which new requests are taken, while callers turn elsewhere
 * @param ending time after the order to stop by which the process has ended by itself
 */
record ShutdownSchedule(Duration acceptFor, Duration exitBy) {
    /** Longest time for which new requests are taken; what is taken then has the rest of the grace to end. */
    private static final Duration MAX_ACCEPT_TIME = Duration.ofMillis(2_700);

    /** Part of the grace for which new requests are taken, where the grace is short. */
    private static final double ACCEPT_FRACTION = 0.45;

    /** Time before the end of the grace by which the process has ended by itself. */
    private static final Duration EXIT_MARGIN = Duration.ofMillis(700);

    /** Returns the plan for a process that is killed {@code grace} after it was told to stop. */
    static ShutdownSchedule within(Duration grace) {
        checkArgument(grace.isPositive(), "grace must be positive: %s", grace);
        Duration proportional = Duration.ofMillis((long) (grace.toMillis() * ACCEPT_FRACTION));
        Duration acceptFor = proportional.compareTo(MAX_ACCEPT_TIME) < 0 ? proportional : MAX_ACCEPT_TIME;
        return new ShutdownSchedule(acceptFor, grace.minus(EXIT_MARGIN));
    }
}
