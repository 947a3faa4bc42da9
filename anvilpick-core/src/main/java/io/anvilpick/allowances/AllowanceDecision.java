package io.anvilpick.allowances;

import java.time.Duration;

/** Whether a tenant's request is within its allowance. */
public sealed interface AllowanceDecision {
    /** The request may be sent. */
    record Within(AllowancePermit permit) implements AllowanceDecision {}

    /**
     * The tenant has used its allowance.
     *
     * @param retryAfter time after which one more request is expected to be within it
     */
    record Exceeded(Duration retryAfter) implements AllowanceDecision {}

    /**
     * No daemon that grants the allowance has answered.
     *
     * @param retryAfter time after which the caller should return
     */
    record Unavailable(Duration retryAfter) implements AllowanceDecision {}
}
