package io.anvilpick.load;

/** How a call ended for its caller, after sending it again where that was said to be safe. */
sealed interface Result {
    /** The whole answer to the caller's own request came. */
    record Answered() implements Result {}

    /** The call was refused as not run. */
    record NotRun(String error) implements Result {}

    /** The call may have run. */
    record Unknown(String error) implements Result {}

    /** The connection was cut while the call was in flight, or the answer was not the whole answer to this request. */
    record Cut(String reason) implements Result {}
}
