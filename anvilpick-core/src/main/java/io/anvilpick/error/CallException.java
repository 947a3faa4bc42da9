package io.anvilpick.error;

import java.time.Duration;
import java.util.Optional;

/**
 * Thrown if a call ends without a target's answer. The message is sent to the caller and names the field and the
 * reason.
 */
public final class CallException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ErrorKind kind;
    private final transient Optional<Duration> retryAfter;

    /** Creates an exception of {@code kind}. */
    public CallException(ErrorKind kind, String message) {
        this(kind, message, Optional.empty());
    }

    /** Creates an exception of {@code kind}, after which the caller should return no sooner than {@code retryAfter}. */
    public CallException(ErrorKind kind, String message, Optional<Duration> retryAfter) {
        super(message);
        this.kind = kind;
        this.retryAfter = retryAfter;
    }

    /** Returns the time after which the caller should return; empty if the usual time of the kind applies. */
    public Optional<Duration> retryAfter() {
        return retryAfter;
    }

    /** Returns the kind, which {@link AnswerTable} maps to the answer. */
    public ErrorKind kind() {
        return kind;
    }
}
