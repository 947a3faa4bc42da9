package io.anvilpick.calls;

import io.anvilpick.dispatch.Assignment;
import io.anvilpick.error.ErrorKind;

/** The port through which calls are counted. Implementations are thread safe and do not block. */
public interface CallEvents {
    /** A call was sent to a target. */
    default void sent(Assignment assignment) {}

    /** An assignment of a call has ended. */
    default void replied(Assignment assignment, TargetReply reply) {}

    /** A call was answered by a target after {@code nanos} in this daemon. */
    void answered(String service, String request, String tenant, long nanos);

    /** A call ended without a target's answer. */
    void refused(String service, String request, String tenant, ErrorKind kind);

    /** A call was sent to another target after a failure. */
    void retried(String service);

    /** A call was sent to a second target since the first was late. */
    void hedged(String service);
}
