package io.anvilpick.dispatch;

import io.anvilpick.config.TargetConfig;

/**
 * A call sent to a target.
 *
 * @param id unique within the dispatcher; a call that is hedged or retried has several
 * @param call the call
 * @param target where it goes
 * @param startedNanos monotonic reading at the decision
 * @param expectedFactor the time expected of the target, as a multiple of the usual time
 * @param occupancy the calls that the target was thought to have
 */
public record Assignment(
        long id, Call call, TargetConfig target, long startedNanos, double expectedFactor, double occupancy) {
    /** Returns why the target was taken, as log lines have it. */
    public String reason() {
        return "/factor=%.1f/busy=%.1f".formatted(expectedFactor, occupancy);
    }
}
