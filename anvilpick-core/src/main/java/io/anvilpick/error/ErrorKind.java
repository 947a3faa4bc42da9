package io.anvilpick.error;

/** The closed list of reasons for which a call gets no answer from a target. */
public enum ErrorKind {
    /** The request is malformed. */
    INVALID_REQUEST,
    /** No service of that name is in the configuration in force. */
    UNKNOWN_SERVICE,
    /** No request class of the service matches the method and path. */
    UNKNOWN_REQUEST,
    /** The body is larger than the limit. */
    BODY_TOO_LARGE,
    /** A non-idempotent call came without an idempotency key. */
    KEY_REQUIRED,
    /** The idempotency key was used before with another request. */
    KEY_MISMATCH,
    /** The first call with this idempotency key is still running. */
    KEY_IN_PROGRESS,
    /** The first call with this idempotency key may have run and its answer is not kept. */
    KEY_OUTCOME_UNKNOWN,
    /** The idempotency key is older than the time for which keys are remembered. */
    KEY_EXPIRED,
    /** Too few claim replicas could be reached to claim the key. */
    CLAIM_UNAVAILABLE,
    /** No configuration is in force on this daemon yet. */
    NO_CONFIGURATION,
    /** No target could be connected to. */
    NO_TARGET,
    /** The call could not be answered in time, or the daemon holds too much already; it was shed before it was sent. */
    OVERLOADED,
    /** The deadline passed before any byte was sent to a target. */
    DEADLINE_BEFORE_SEND,
    /** The deadline passed while a target was working on the call. */
    DEADLINE_AFTER_SEND,
    /** The connection to the target was lost while it was working on the call. */
    CONNECTION_LOST,
    /** The target's answer was cut off or exceeded the limit. */
    ANSWER_CUT,
    /** The target itself said that it did not run the call. */
    TARGET_REFUSED,
    /** The same request crashed targets before. */
    CRASHING_REQUEST,
    /** The daemon is shutting down and takes no new calls. */
    SHUTTING_DOWN,
    /** A fault in the daemon itself. */
    INTERNAL
}
