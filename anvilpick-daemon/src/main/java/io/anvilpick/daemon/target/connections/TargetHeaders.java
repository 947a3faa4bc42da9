package io.anvilpick.daemon.target.connections;

import io.anvilpick.tenants.TenantHeaders;

/**
 * The names of the headers that callers, daemons and targets exchange.
 *
 * @param requestId header with the caller's id of one attempt, which targets echo
 * @param remainingMillis header with the time left until the deadline, in milliseconds
 * @param seal header by which a target proves that it produced the answer
 * @param expectedTarget header with the id of the target that a request is addressed to
 * @param load header in which a target reports calls running, calls waiting, slots, and its slowness in percent
 * @param warmUpMillis header in which a target states in reply to a probe for how many milliseconds it stays cold
 * @param notExecuted header by which a target states that it did not run the request
 * @param leaving header by which a target states in every answer that it is leaving
 * @param tenants headers that concern tenants
 */
public record TargetHeaders(
        String requestId,
        String remainingMillis,
        String seal,
        String expectedTarget,
        String load,
        String warmUpMillis,
        String notExecuted,
        String leaving,
        TenantHeaders tenants) {}
