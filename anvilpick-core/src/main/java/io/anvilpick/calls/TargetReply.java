package io.anvilpick.calls;

import io.anvilpick.dispatch.LoadReport;
import java.util.Optional;

/** What came of sending a call to a target. */
public sealed interface TargetReply {
    /**
     * The target's whole answer came.
     *
     * @param answer the answer
     * @param load what the target said of its load, if it said anything
     * @param notRun whether the target said that it did not run the call
     * @param leaving whether the target said that it is draining
     */
    record Answered(CallAnswer answer, Optional<LoadReport> load, boolean notRun, boolean leaving)
            implements TargetReply {}

    /** No connection could be had, and no byte was sent. */
    record NotSent(String reason) implements TargetReply {}

    /** The connection was lost before any of the answer came. */
    record Lost(String reason) implements TargetReply {}

    /** The answer began and was cut off, or exceeds the limit. */
    record Cut(String reason) implements TargetReply {}

    /** The deadline passed. */
    record TimedOut() implements TargetReply {}

    /** The exchange was cancelled by this daemon. */
    record Cancelled() implements TargetReply {}
}
