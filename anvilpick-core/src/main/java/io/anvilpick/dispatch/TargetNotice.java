package io.anvilpick.dispatch;

import io.anvilpick.time.Deadline;

/** What a target asks of this daemon in an answer, beside the answer itself. */
public sealed interface TargetNotice {
    /** The target asks for nothing. */
    record None() implements TargetNotice {}

    /** Another target has the address. */
    record Replaced() implements TargetNotice {}

    /** The target is leaving and wants no more calls. */
    record Leaving() implements TargetNotice {}

    /** The target has no room and wants neither calls nor probes until the deadline. */
    record Rest(Deadline until) implements TargetNotice {}
}
