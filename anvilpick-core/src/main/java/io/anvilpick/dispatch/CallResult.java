package io.anvilpick.dispatch;

import java.util.Optional;

/** The outcome of an assignment, as far as it matters for dispatching. */
public sealed interface CallResult {
    /**
     * The target answered.
     *
     * @param load the load report in the answer; empty if there was none
     * @param failed whether the answer was a server error
     * @param notice what the target asked for with the answer
     */
    record Answered(Optional<LoadReport> load, boolean failed, TargetNotice notice) implements CallResult {
        /** Creates the result of an answer with which the target asked for nothing. */
        public Answered(Optional<LoadReport> load, boolean failed) {
            this(load, failed, new TargetNotice.None());
        }
    }

    /**
     * The target answered that it did not run the call.
     *
     * @param notice what the target asked for with the answer
     */
    record Shed(TargetNotice notice) implements CallResult {}

    /** The call was not sent, because no connection to the target could be established. */
    record ConnectFailed() implements CallResult {}

    /** The call was not sent, because its deadline had passed. That says nothing about the target. */
    record Expired() implements CallResult {}

    /** The connection was lost before the answer, or the answer was truncated. */
    record Lost() implements CallResult {}

    /** The deadline passed before an answer arrived. */
    record TimedOut() implements CallResult {}

    /** The daemon cancelled the exchange because the caller disconnected or another answer arrived first. */
    record Cancelled() implements CallResult {}
}
