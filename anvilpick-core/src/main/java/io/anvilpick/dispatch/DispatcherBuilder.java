package io.anvilpick.dispatch;

import io.anvilpick.limits.ExtraCallBudget;
import io.anvilpick.limits.ShareBudget;
import io.anvilpick.time.TimeSource;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/** A builder of dispatchers. Not thread safe. */
public final class DispatcherBuilder {
    private static final int RETRY_PERCENT = 10;
    private static final int RETRY_RESERVE = 10;
    private static final int HEDGE_PERCENT = 10;
    private static final int HEDGE_RESERVE = 10;

    @Nullable
    TimeSource time;

    @Nullable
    RandomGenerator random;

    @Nullable
    String spillName;

    TargetPolicy policy = new TargetPolicy.LateBinding();
    ExtraCallBudget retries = ShareBudget.ofPercent(RETRY_PERCENT, RETRY_RESERVE);
    ExtraCallBudget hedges = ShareBudget.ofPercent(HEDGE_PERCENT, HEDGE_RESERVE);

    DispatcherBuilder() {}

    /** Sets the time source. */
    public DispatcherBuilder time(TimeSource value) {
        time = value;
        return this;
    }

    /** Sets the random generator. The dispatcher uses it only under its lock. */
    public DispatcherBuilder random(RandomGenerator value) {
        random = value;
        return this;
    }

    /** Sets the policy by which targets are selected; {@link TargetPolicy.LateBinding} by default. */
    public DispatcherBuilder policy(TargetPolicy value) {
        policy = value;
        return this;
    }

    /**
     * Lets a share of the calls leave the zone when the zone's targets have too little room, under
     * {@link TargetPolicy.EarliestAnswer}. Without this, each call is placed by its own estimates alone.
     *
     * @param daemon the name of this daemon, by which it ranks the targets of other zones
     */
    public DispatcherBuilder spillAs(String daemon) {
        spillName = daemon;
        return this;
    }

    /** Sets one budget for both retries and hedges. By default each has a budget of its own. */
    public DispatcherBuilder extraCalls(ExtraCallBudget value) {
        retries = value;
        hedges = value;
        return this;
    }

    /**
     * Returns the dispatcher.
     *
     * @throws NullPointerException if time or random were not set
     */
    public Dispatcher build() {
        return new Dispatcher(this);
    }
}
