package io.anvilpick.dispatch;

import io.anvilpick.error.ErrorKind;

/** What becomes of a call handed to the dispatcher. */
public sealed interface Admission {
    /** The call goes to a target now. */
    record Assigned(Assignment assignment) implements Admission {}

    /** The call waits for a slot; it comes back in a later {@link DispatchResult}. */
    record Waiting() implements Admission {}

    /** The call is refused and has not run. */
    record Refused(ErrorKind kind) implements Admission {}
}
