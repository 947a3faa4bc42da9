package io.anvilpick.dispatch;

/**
 * A policy by which a dispatcher selects targets. All but {@link LateBinding} and {@link EarliestAnswer} are baselines
 * for benchmarks.
 */
public sealed interface TargetPolicy {
    /**
     * Queues calls until a slot is free. Prefers targets that are not slow, and among these the fewest calls in flight.
     */
    record LateBinding() implements TargetPolicy {}

    /**
     * Queues calls until a slot is free and picks the target with the earliest expected answer, according to its load
     * reports, its answers and its calls in flight. Prefers a target in the daemon's own availability zone while that
     * meets the goal of the call.
     *
     * @param zone the daemon's availability zone
     */
    record EarliestAnswer(String zone) implements TargetPolicy {}

    /** Sends each call at once to a target chosen uniformly at random. */
    record UniformRandom() implements TargetPolicy {}

    /** Sends each call at once to the next target in turn. */
    record RoundRobin() implements TargetPolicy {}

    /** Sends each call at once to the one of two random targets that last reported the smaller load. */
    record TwoChoices() implements TargetPolicy {}

    /** Sends each call at once to the target with the fewest calls of this daemon in flight. */
    record LeastInFlight() implements TargetPolicy {}

    /** Lowest multiple of the median latency after which an answer counts as late, so that few calls are hedged. */
    double MIN_HEDGE_FACTOR = 1.1;

    /**
     * Returns the nanoseconds after which an answer counts as late.
     *
     * <p>Load pattern: a few targets are slow for seconds although they report no load, so that the slowest answers take many times
     * the median. A call is hedged while an answer of the median latency still meets its goal.
     *
     * @param medianNanos the median latency of the request class
     * @param ninetiethPercentileNanos the 90th percentile of that latency
     * @param goalNanos the nanoseconds left until the goal; zero or negative if it has passed
     */
    default long hedgeDelayNanos(long medianNanos, long ninetiethPercentileNanos, long goalNanos) {
        return switch (this) {
            // Targets are probed before each call is sent. An answer that is slightly later than most is therefore
            // no sign that another target would be faster.
            case EarliestAnswer ignored -> {
                long late = Math.max(2 * medianNanos, ninetiethPercentileNanos);
                long latestInTime = goalNanos - medianNanos;
                boolean goalIsLost = latestInTime <= 0;
                yield goalIsLost
                        ? late
                        : Math.min(late, Math.max(latestInTime, (long) (MIN_HEDGE_FACTOR * medianNanos)));
            }
            default -> ninetiethPercentileNanos;
        };
    }

    /** Returns whether a call tests the recovery of an ejected target; otherwise a load probe does. */
    default boolean testsRecoveryWithCalls() {
        return !(this instanceof EarliestAnswer);
    }

    /** Returns whether the daemon queues calls until a slot is free. */
    default boolean queuesCalls() {
        return this instanceof LateBinding || this instanceof EarliestAnswer;
    }
}
