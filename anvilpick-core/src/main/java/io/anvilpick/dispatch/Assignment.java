package io.anvilpick.dispatch;

import io.anvilpick.config.TargetConfig;

/**
 * The assignment of a call to a target.
 *
 * @param id the identifier, unique within the dispatcher; a call that is hedged or retried has several assignments
 * @param call the call
 * @param target the target that receives the call
 * @param startedNanos the monotonic clock reading at the time of the decision
 * @param expectedSlowdown the latency expected of the target, as a multiple of the baseline of the request class
 * @param occupancy the estimated number of calls at the target before this one, from all daemons
 */
public record Assignment(
        long id, Call call, TargetConfig target, long startedNanos, double expectedSlowdown, double occupancy) {
    /** Returns the figures behind the choice of the target, in the format of log lines. */
    public String reason() {
        return "/factor=%.1f/busy=%.1f".formatted(expectedSlowdown, occupancy);
    }
}
