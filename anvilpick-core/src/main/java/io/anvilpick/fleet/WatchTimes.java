package io.anvilpick.fleet;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import java.util.Optional;

/**
 * How long a daemon waits for changes, so that a wait that gets no response is noticed in time.
 *
 * <p>A change must be in force within a bound. The longest way of a change is a wait without response, which is asked again, and
 * then a query of a daemon that follows the store through this one: {@link #overdueAfter}, a call to the store, the interval of the
 * queries, and an answer.
 *
 * @param bound time within which a change must be in force
 */
public record WatchTimes(Duration bound) {
    private static final int WAIT_PERCENT = 45;
    private static final int MARGIN_PERCENT = 15;
    private static final int PAUSE_PERCENT = 20;
    private static final int RELAY_AGE_PERCENT = 64;

    /** The minimum bound. A shorter one would cost many calls to the store. */
    private static final Duration MIN_BOUND = Duration.ofMillis(200);

    /** The bound of a deployment that states none. */
    static final Duration DEFAULT_BOUND = Duration.ofSeconds(2);

    /** Times are derived from this bound if the actual one is longer. */
    private static final Duration MAX_BOUND = Duration.ofSeconds(16);

    private static final Duration MAX_PAUSE = Duration.ofMillis(400);

    /** Time between two queries of a daemon through which another one follows the store. */
    public static final Duration RELAY_POLL_INTERVAL = Duration.ofMillis(250);

    /** Usual time until a busy daemon or the store has answered. */
    private static final Duration ANSWER_TIME = Duration.ofMillis(25);

    /** Share of the bound within which a change must have arrived. The rest covers an answer that is late. */
    private static final int ARRIVAL_PERCENT = 85;

    public WatchTimes {
        checkArgument(bound.compareTo(MIN_BOUND) >= 0, "bound must be at least %s: %s", MIN_BOUND, bound);
    }

    /**
     * Returns the times for changes that must be in force within the smaller of two bounds. One that is not stated counts as
     * {@link #DEFAULT_BOUND}, a shorter one than {@link #MIN_BOUND} as that.
     */
    public static WatchTimes within(Optional<Duration> configurationBound, Optional<Duration> drainBound) {
        Duration smaller = shorter(configurationBound.orElse(DEFAULT_BOUND), drainBound.orElse(DEFAULT_BOUND));
        return new WatchTimes(smaller.compareTo(MIN_BOUND) < 0 ? MIN_BOUND : smaller);
    }

    /** Returns the time for which a call waits for changes. */
    public Duration maxWait() {
        return percent(WAIT_PERCENT);
    }

    /** Returns the pause after changes, which combines many changes in a row into few calls. The next wait is shorter by it. */
    public Duration pauseAfterChanges() {
        return shorter(percent(PAUSE_PERCENT), MAX_PAUSE);
    }

    /** Returns the time beyond its wait after which a call is overdue and is sent again. */
    public Duration overdueMargin() {
        return percent(MARGIN_PERCENT);
    }

    /** Returns the time after which a call that waits as long as possible is overdue. */
    public Duration overdueAfter() {
        return maxWait().plus(overdueMargin());
    }

    /**
     * Returns the maximum time since the store last answered a read of a relay, beyond which the relay is not followed. It is more
     * than {@link #overdueAfter}, so that a relay whose call is answered when it is sent again is still followed.
     */
    public Duration maxRelayAge() {
        return percent(RELAY_AGE_PERCENT);
    }

    /**
     * Returns whether a change that is noticed late still arrives in time through two relays in a row: through one of the region and
     * one of the zone. If so, one daemon of a region follows the store directly, instead of one daemon of each zone.
     */
    public boolean coversTwoRelays() {
        Duration twoRelays = RELAY_POLL_INTERVAL.plus(ANSWER_TIME).multipliedBy(2);
        Duration arrival = overdueAfter().plus(ANSWER_TIME).plus(twoRelays);
        return arrival.compareTo(percent(ARRIVAL_PERCENT)) <= 0;
    }

    private Duration percent(int percent) {
        return shorter(bound, MAX_BOUND).multipliedBy(percent).dividedBy(100);
    }

    private static Duration shorter(Duration one, Duration other) {
        return one.compareTo(other) <= 0 ? one : other;
    }
}
