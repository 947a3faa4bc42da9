package io.anvilpick.error;

/** The reasons why a call ends without an answer from a target. The list is closed: every such call has one of them. */
public enum ErrorKind {
    /** The request is malformed. */
    INVALID_REQUEST,
    /** No service of that name is in the configuration in force. */
    UNKNOWN_SERVICE,
    /** No request class of the service matches the method and path. */
    UNKNOWN_REQUEST,
    /** The request has no API key, or one that no tenant holds. */
    UNKNOWN_CREDENTIAL,
    /** The tenant has used its allowance. */
    ALLOWANCE_EXCEEDED,
    /** No daemon that grants the tenant's allowance has answered. */
    ALLOWANCE_UNAVAILABLE,
    /** A newer configuration may allow what the one in force on this daemon does not. */
    CONFIGURATION_MAY_BE_OLD,
    /** The body is larger than the limit. */
    BODY_TOO_LARGE,
    /** A non-idempotent call came without an idempotency key. */
    KEY_REQUIRED,
    /** The idempotency key was used before with another request. */
    KEY_MISMATCH,
    /** The first call with this idempotency key is still running. */
    KEY_IN_PROGRESS,
    /**
     * The first call with this idempotency key may have run, and its answer is not stored. Also used for a key that may
     * have been used before claims were lost.
     */
    KEY_OUTCOME_UNKNOWN,
    /** The idempotency key is older than the time for which keys are remembered. */
    KEY_EXPIRED,
    /** Too few claim replicas could be reached in time to claim the idempotency key. */
    CLAIM_UNAVAILABLE,
    /** No configuration is in force on this daemon yet. */
    NO_CONFIGURATION,
    /** No target of the service is known, or no connection to a target could be opened. */
    NO_TARGET,
    /** All zones with targets of the service are evacuated. */
    ZONES_EVACUATED,
    /** The call was shed before it was sent, because it would have missed its deadline or the daemon is at a limit. */
    OVERLOADED,
    /** The deadline passed before any byte was sent to a target. */
    DEADLINE_BEFORE_SEND,
    /** The deadline passed while a target was working on the call. */
    DEADLINE_AFTER_SEND,
    /** The connection to the target was lost while it was working on the call, or the call was cancelled. */
    CONNECTION_LOST,
    /** The target's answer ended early or was larger than the limit. */
    ANSWER_CUT,
    /** The target reported that it did not run the call. */
    TARGET_REFUSED,
    /** The same request was running when targets crashed, and is not run again. */
    CRASHING_REQUEST,
    /** The daemon is shutting down and accepts no new calls, or no daemon is live to which a caller could be sent. */
    SHUTTING_DOWN,
    /** An internal error of the daemon ended the call. */
    INTERNAL
}
