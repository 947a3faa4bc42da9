package io.anvilpick.calls;

import io.anvilpick.dispatch.Assignment;
import io.anvilpick.error.ErrorKind;

/** A listener for the events of calls, used for metrics and logs. Implementations are thread safe and do not block. */
public interface CallEvents {
    /** Called when a call is sent to a target. */
    default void sent(Assignment assignment) {}

    /** Called when an assignment of a call has ended. */
    default void replied(Assignment assignment, TargetReply reply) {}

    /**
     * Called when a call has been answered by a target or with the stored answer to an earlier call. {@code nanos} is
     * the time that the call spent in this daemon.
     */
    void answered(String service, String request, String tenant, long nanos);

    /** Called when a call has ended without an answer of a target. */
    void refused(String service, String request, String tenant, ErrorKind kind);

    /** Called when a call is about to be submitted again after a failure. The dispatcher may still refuse it. */
    void retried(String service);

    /** Called when a call is sent to another target because the first is late. */
    void hedged(String service);
}
