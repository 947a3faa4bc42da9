package io.anvilpick.dispatch;

import io.anvilpick.error.ErrorKind;
import java.time.Duration;
import java.util.Optional;

/** The dispatcher's decision on a call that was submitted to it. */
public sealed interface Admission {
    /** The call is to be sent to its target now. */
    record Assigned(Assignment assignment) implements Admission {}

    /** The call is queued for a slot. A later {@link DispatchResult} contains it. */
    record Waiting() implements Admission {}

    /**
     * The call was rejected and has not run.
     *
     * @param retryAfter the time after which the caller should return; empty if the usual time of {@code kind} applies
     */
    record Refused(ErrorKind kind, Optional<Duration> retryAfter) implements Admission {
        /** Creates a refusal after which the usual time of {@code kind} applies. */
        public Refused(ErrorKind kind) {
            this(kind, Optional.empty());
        }
    }
}
