package io.anvilpick.calls;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How a call is sent.
 *
 * @param mostTargets targets that it may be sent to, hedges among them
 * @param repeatFailedAnswers whether an idempotent call whose answer is a server error is sent to another target
 * @param scout measures targets before each send
 */
public record SendPlan(int mostTargets, boolean repeatFailedAnswers, LoadProber scout) {
    private static final int DEFAULT_MOST_TARGETS = 3;

    public SendPlan {
        checkArgument(mostTargets > 0, "mostTargets must be positive: %s", mostTargets);
    }

    /** Returns the plan for services whose configuration says nothing of it. */
    public static SendPlan standard() {
        return new SendPlan(DEFAULT_MOST_TARGETS, false, LoadProber.none());
    }
}
