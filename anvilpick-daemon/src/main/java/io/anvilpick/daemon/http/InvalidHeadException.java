package io.anvilpick.daemon.http;

/** Signals that the head of a response is invalid. Its message contains nothing that the server sent. */
final class InvalidHeadException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final InvalidPart part;

    /** Creates an exception without a stack trace, because a faulty server may cause many of them. */
    InvalidHeadException(InvalidPart part) {
        super("invalid " + part.label(), null, false, false);
        this.part = part;
    }

    InvalidPart part() {
        return part;
    }
}
