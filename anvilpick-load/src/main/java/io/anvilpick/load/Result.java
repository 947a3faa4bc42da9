package io.anvilpick.load;

/** Outcome of a call for its caller, after all retries. */
sealed interface Result {
    /** The complete answer to this request was received. */
    record Answered() implements Result {}

    /** The call was not executed: it was refused, or no connection could be made. */
    record NotRun(String error) implements Result {}

    /** The call may have been executed. */
    record Unknown(String error) implements Result {}

    /** The connection was closed while the call was in flight, or the answer was incomplete or for another request. */
    record Cut(String reason) implements Result {}
}
