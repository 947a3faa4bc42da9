package io.anvilpick.messages;

/**
 * Signals that a request to a peer was not sent, its connection failed, or its reply was unreadable. A reply that is
 * overdue is signalled by a {@link java.util.concurrent.TimeoutException} instead.
 */
public final class PeerException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean connectionRefused;

    /**
     * Creates an exception.
     *
     * @param connectionRefused whether the peer's host refused the connection, as no process listens at the address
     */
    public PeerException(String message, boolean connectionRefused) {
        super(message);
        this.connectionRefused = connectionRefused;
    }

    /** Returns whether the peer's host refused the connection, as no process listens at the address. */
    public boolean connectionRefused() {
        return connectionRefused;
    }
}
