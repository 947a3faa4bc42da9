package io.anvilpick.dispatch;

import io.anvilpick.error.ErrorKind;

/** The dispatcher's decision on a call that was submitted to it. */
public sealed interface Admission {
    /** The call is to be sent to its target now. */
    record Assigned(Assignment assignment) implements Admission {}

    /** The call is queued for a slot. A later {@link DispatchResult} contains it. */
    record Waiting() implements Admission {}

    /** The call was rejected and has not run. */
    record Refused(ErrorKind kind) implements Admission {}
}
