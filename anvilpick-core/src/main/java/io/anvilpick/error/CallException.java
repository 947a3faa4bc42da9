package io.anvilpick.error;

/**
 * Thrown if a call ends without a target's answer. The message is sent to the caller and names the field and the
 * reason.
 */
public final class CallException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ErrorKind kind;

    /** Creates an exception of {@code kind}. */
    public CallException(ErrorKind kind, String message) {
        super(message);
        this.kind = kind;
    }

    /** Returns the kind, which {@link AnswerTable} maps to the answer. */
    public ErrorKind kind() {
        return kind;
    }
}
