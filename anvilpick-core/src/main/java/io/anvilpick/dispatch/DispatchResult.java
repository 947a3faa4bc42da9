package io.anvilpick.dispatch;

import com.google.common.collect.ImmutableList;
import io.anvilpick.error.ErrorKind;

/**
 * The calls that left the queue in one pass over it.
 *
 * @param assigned the calls to send now, each with its target
 * @param refused the calls that can no longer be answered in time; none of them has run
 */
public record DispatchResult(ImmutableList<Assignment> assigned, ImmutableList<Refusal> refused) {
    /** A call that left the queue without being sent, for the reason {@code kind}. */
    public record Refusal(Call call, ErrorKind kind) {}
}
