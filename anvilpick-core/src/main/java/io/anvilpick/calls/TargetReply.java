package io.anvilpick.calls;

import io.anvilpick.dispatch.LoadReport;
import io.anvilpick.dispatch.TargetNotice;
import java.util.Optional;

/** The result of sending a call to a target. */
public sealed interface TargetReply {
    /** Returns whether the target may have run the call. */
    default boolean mayHaveRun() {
        return switch (this) {
            case Answered answered -> !answered.notRun();
            case NotSent ignored -> false;
            case Expired ignored -> false;
            case Lost ignored -> true;
            case Cut ignored -> true;
            case TimedOut ignored -> true;
            case Cancelled ignored -> true;
        };
    }

    /**
     * The complete answer of the target arrived.
     *
     * @param answer the answer
     * @param load the load that the target reported, if any
     * @param notRun whether the target rejected the call without running it
     * @param notice what the target asked for with the answer
     */
    record Answered(CallAnswer answer, Optional<LoadReport> load, boolean notRun, TargetNotice notice)
            implements TargetReply {}

    /** No byte was sent, because no connection was available. */
    record NotSent(String reason) implements TargetReply {}

    /** No byte was sent, because the deadline had passed. */
    record Expired() implements TargetReply {}

    /** The connection was lost before any part of the answer arrived. */
    record Lost(String reason) implements TargetReply {}

    /** The answer was cut off, exceeds the size limit, or cannot be used for another reason. */
    record Cut(String reason) implements TargetReply {}

    /** The deadline passed before the answer was complete. */
    record TimedOut() implements TargetReply {}

    /** The exchange was cancelled by this daemon. */
    record Cancelled() implements TargetReply {}
}
