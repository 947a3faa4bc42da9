package io.anvilpick.error;

/** A call that ends without a target's answer. The message is meant for the caller and names field and reason. */
public final class CallException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ErrorKind kind;

    /** Creates an exception of {@code kind}. */
    public CallException(ErrorKind kind, String message) {
        super(message);
        this.kind = kind;
    }

    /** Returns the kind, from which {@link AnswerTable} gives the answer. */
    public ErrorKind kind() {
        return kind;
    }
}
