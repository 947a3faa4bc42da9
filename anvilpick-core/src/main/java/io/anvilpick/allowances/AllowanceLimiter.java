package io.anvilpick.allowances;

import io.anvilpick.tenants.Tenant;
import io.anvilpick.time.Deadline;

/** Limits the requests of each tenant to its allowance, together with the other daemons. Thread safe. */
@FunctionalInterface
public interface AllowanceLimiter {
    /**
     * Decides on one request. May block the calling thread while other daemons are asked.
     *
     * @param deadline time after which the caller no longer waits
     * @throws InterruptedException if the caller disconnected
     */
    AllowanceDecision acquire(Tenant tenant, Deadline deadline) throws InterruptedException;

    /** Returns a limiter that limits nothing. */
    static AllowanceLimiter unlimited() {
        return (tenant, deadline) -> new AllowanceDecision.Within(AllowancePermit.uncounted());
    }
}
