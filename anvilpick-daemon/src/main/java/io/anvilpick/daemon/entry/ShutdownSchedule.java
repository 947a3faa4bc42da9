package io.anvilpick.daemon.entry;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.Ordering;
import java.time.Duration;

/**
 * The schedule of a shutdown within the grace period of the process.
 *
 * @param acceptFor time for which new requests are still accepted, while callers switch to other daemons
 * @param answerBy time after the stop signal by which every request that waits for a target has been sent or refused
 * @param exitBy time after the stop signal at which the wait for requests in flight ends; the process then closes its
 *     connections and exits before it is killed
 */
record ShutdownSchedule(Duration acceptFor, Duration answerBy, Duration exitBy) {
    /**
     * Maximum time for which new requests are accepted. They have the rest of the grace period to finish. A process that is short of
     * processor time may begin its stop half a second after the signal.
     */
    private static final Duration MAX_ACCEPT_TIME = Duration.ofMillis(2_400);

    /** Fraction of a short grace period for which new requests are accepted. */
    private static final double ACCEPT_FRACTION = 0.45;

    /** Maximum time at the end of the grace period that is left for closing connections and exiting. */
    private static final Duration EXIT_MARGIN = Duration.ofMillis(700);

    /** Maximum time for sending the last refusals before the connections are closed. */
    private static final Duration REFUSAL_TIME = Duration.ofMillis(200);

    /**
     * Returns the schedule for a process that is killed {@code grace} after the stop signal.
     *
     * @throws IllegalArgumentException if {@code grace} is not positive
     */
    static ShutdownSchedule within(Duration grace) {
        checkArgument(grace.isPositive(), "grace must be positive: %s", grace);
        Duration proportional = Duration.ofMillis((long) (grace.toMillis() * ACCEPT_FRACTION));
        Duration exitBy = grace.minus(shorter(EXIT_MARGIN, grace.dividedBy(2)));
        Duration answerBy = exitBy.minus(shorter(REFUSAL_TIME, exitBy.dividedBy(2)));
        return new ShutdownSchedule(shorter(proportional, MAX_ACCEPT_TIME), answerBy, exitBy);
    }

    private static Duration shorter(Duration one, Duration other) {
        return Ordering.natural().min(one, other);
    }
}
