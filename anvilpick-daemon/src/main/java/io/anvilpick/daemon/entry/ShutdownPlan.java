package io.anvilpick.daemon.entry;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * The times of a stop within the grace that a process has.
 *
 * @param serving time for which new requests are taken, while callers turn elsewhere
 * @param ending time after the order to stop by which the process has ended by itself
 */
record ShutdownPlan(Duration serving, Duration ending) {
    /** Longest time for which new requests are taken; what is taken then has the rest of the grace to end. */
    private static final Duration MOST_SERVING = Duration.ofMillis(2_700);

    /** Part of the grace for which new requests are taken, where the grace is short. */
    private static final double SERVING_PART = 0.45;

    /** Time before the end of the grace by which the process has ended by itself. */
    private static final Duration END_BEFORE_GRACE = Duration.ofMillis(700);

    /** Returns the plan for a process that is killed {@code grace} after it was told to stop. */
    static ShutdownPlan within(Duration grace) {
        checkArgument(grace.isPositive(), "grace must be positive: %s", grace);
        Duration part = Duration.ofMillis((long) (grace.toMillis() * SERVING_PART));
        Duration serving = part.compareTo(MOST_SERVING) < 0 ? part : MOST_SERVING;
        return new ShutdownPlan(serving, grace.minus(END_BEFORE_GRACE));
    }
}
