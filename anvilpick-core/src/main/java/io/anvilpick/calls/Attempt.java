package io.anvilpick.calls;

import com.google.common.collect.ImmutableSet;
import io.anvilpick.dispatch.Assignment;

/**
 * The result of one attempt at a call, including its hedge if one was sent.
 *
 * @param assignment the assignment that produced {@code reply}
 * @param reply the reply that decides the attempt
 * @param targets ids of the targets that the call was assigned to
 * @param reached ids of the targets that may have run the call
 */
record Attempt(Assignment assignment, TargetReply reply, ImmutableSet<String> targets, ImmutableSet<String> reached) {}
