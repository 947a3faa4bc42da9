package io.anvilpick.routing;

import io.anvilpick.config.TargetConfig;

/**
 * A call sent to a target.
 *
 * @param id unique within the dispatcher; a call that is hedged or retried has several
 * @param call the call
 * @param target where it goes
 * @param startedNanos monotonic reading at the decision
 */
public record Assignment(long id, Call call, TargetConfig target, long startedNanos) {}
