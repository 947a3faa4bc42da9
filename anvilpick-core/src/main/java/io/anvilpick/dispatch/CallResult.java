package io.anvilpick.dispatch;

import java.util.Optional;

/** How an assignment ended, as far as routing is concerned. */
public sealed interface CallResult {
    /**
     * The target answered.
     *
     * @param load what the target said of its load, if it said anything
     * @param failed whether the answer was a server error
     * @param leaving whether the target said that it is draining
     */
    record Answered(Optional<LoadReport> load, boolean failed, boolean leaving) implements CallResult {}

    /**
     * The target said that it did not run the call.
     *
     * @param leaving whether it said that it is draining
     */
    record Shed(boolean leaving) implements CallResult {}

    /** No connection could be made. */
    record ConnectFailed() implements CallResult {}

    /** The connection was lost or the answer cut. */
    record Lost() implements CallResult {}

    /** The deadline passed before the answer came. */
    record TimedOut() implements CallResult {}

    /** The daemon no longer wanted the answer: the caller went away or another answer came first. */
    record Cancelled() implements CallResult {}
}
