package io.anvilpick.daemon.entry;

import io.anvilpick.limits.HeldBytes;

/**
 * The bytes of one request body that count against the daemon's bound: its declared length from the start, and what arrives beyond
 * it, as of a body that is sent in chunks. Confined to the event loop of the request.
 */
final class RequestBodyBytes {
    private final HeldBytes held;
    private long received;
    private long counted;
    private boolean exceedsBound;

    RequestBodyBytes(HeldBytes held) {
        this.held = held;
    }

    /** Counts the declared length, zero if there is none. Returns false if that exceeds the bound. */
    boolean tryHoldDeclared(long bytes) {
        return tryCount(bytes);
    }

    /** Counts bytes that have arrived. Returns false if they exceed the bound, which ends the body. */
    boolean tryAdd(int bytes) {
        received += bytes;
        return received <= counted || tryCount(received - counted);
    }

    private boolean tryCount(long bytes) {
        exceedsBound = !held.tryHold(bytes);
        if (!exceedsBound) {
            counted += bytes;
        }
        return !exceedsBound;
    }

    /** Returns whether the body was rejected because of the bound. */
    boolean exceedsBound() {
        return exceedsBound;
    }

    /** Ends the count of this body. */
    void release() {
        held.release(counted);
        counted = 0;
    }
}
