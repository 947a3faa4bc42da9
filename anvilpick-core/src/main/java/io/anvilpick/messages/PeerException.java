package io.anvilpick.messages;

/** A peer that could not be reached or did not answer in time. */
public final class PeerException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean refused;

    /**
     * Creates an exception.
     *
     * @param refused whether the peer's host answered that nothing listens at the address
     */
    public PeerException(String message, boolean refused) {
        super(message);
        this.refused = refused;
    }

    /** Returns whether the peer's host answered that nothing listens at the address. */
    public boolean refused() {
        return refused;
    }
}
