package io.anvilpick.dispatch;

import com.google.common.collect.ImmutableList;

/**
 * The calls that left the queue in one pass over it.
 *
 * @param assigned the calls to send now, each with its target
 * @param expired the calls that can no longer be answered before their deadline; none of them has run
 */
public record DispatchResult(ImmutableList<Assignment> assigned, ImmutableList<Call> expired) {}
