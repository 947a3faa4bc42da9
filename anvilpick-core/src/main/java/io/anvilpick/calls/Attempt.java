package io.anvilpick.calls;

import io.anvilpick.routing.Assignment;

/**
 * An assignment and what came of it.
 *
 * @param assignment where the call went
 * @param reply what came back
 */
record Attempt(Assignment assignment, TargetReply reply) {}
