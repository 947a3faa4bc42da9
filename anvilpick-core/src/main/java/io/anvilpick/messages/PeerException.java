package io.anvilpick.messages;

/** A peer that could not be reached or did not answer in time. */
public final class PeerException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean connectionRefused;

    /**
     * Creates an exception.
     *
     * @param connectionRefused whether the peer's host answered that nothing listens at the address
     */
    public PeerException(String message, boolean connectionRefused) {
        super(message);
        this.connectionRefused = connectionRefused;
    }

    /** Returns whether the peer's host answered that nothing listens at the address. */
    public boolean connectionRefused() {
        return connectionRefused;
    }
}
