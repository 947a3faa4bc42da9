package io.anvilpick.daemon.target.connections;

/**
 * Names of the headers that callers, daemons and targets exchange.
 *
 * @param requestId the caller's name for one attempt; targets echo it
 * @param remainingMillis milliseconds for which the answer is still wanted
 * @param seal a target's proof that an answer is its own
 * @param expectedTarget id of the target that a request is meant for
 * @param load a target's report: calls running, calls waiting, slots, and its slowness in percent
 * @param notExecuted a target's word that it did not run the request
 */
public record TargetHeaders(
        String requestId,
        String remainingMillis,
        String seal,
        String expectedTarget,
        String load,
        String notExecuted) {}
