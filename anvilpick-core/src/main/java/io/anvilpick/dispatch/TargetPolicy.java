package io.anvilpick.dispatch;

/** How a dispatcher chooses among targets. All but {@link LateBinding} and {@link
 * EarliestAnswer} serve as baselines in benchmarks. */
public sealed interface TargetPolicy {
    /** Holds calls until a slot is free and picks the target that shows the least slowness. */
    record LateBinding() implements TargetPolicy {}

    /**
     * Holds calls until a slot is free and picks the target whose answer is expected first, by its reports, its answers and
     * its calls; one in the daemon's own availability zone as long as that meets the goal of the call.
     *
     * @param zone the daemon's availability zone
     */
    record EarliestAnswer(String zone) implements TargetPolicy {}

    /** Sends each call at once to a target drawn at random. */
    record UniformRandom() implements TargetPolicy {}

    /** Sends calls at once to each target in turn. */
    record RoundRobin() implements TargetPolicy {}

    /** Sends each call at once to the one of two random targets that reported the smaller load. */
    record TwoChoices() implements TargetPolicy {}

    /** Sends each call at once to the target with the fewest calls of this daemon in flight. */
    record LeastInFlight() implements TargetPolicy {}

    /** Returns the time in nanoseconds after which an answer counts as late, by what answers of its class take. */
    default long hedgeDelayNanos(long medianNanos, long ninetiethPercentileNanos) {
        return switch (this) {
            // Targets are measured before each send, so that an answer a little later than most promises no gain
            // elsewhere.
            case EarliestAnswer ignored -> Math.max(2 * medianNanos, ninetiethPercentileNanos);
            default -> ninetiethPercentileNanos;
        };
    }

    /** Returns whether a target that failed is tried again by a call; otherwise it is asked for its load first. */
    default boolean triesWithCalls() {
        return !(this instanceof EarliestAnswer);
    }

    /** Returns whether calls wait in the daemon for a free slot. */
    default boolean holdsCalls() {
        return this instanceof LateBinding || this instanceof EarliestAnswer;
    }
}
