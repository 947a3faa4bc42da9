package io.anvilpick.daemon;

import io.anvilpick.messages.PeerHandler;
import io.anvilpick.messages.PeerReply;
import io.anvilpick.messages.PeerRequest;
import org.jspecify.annotations.Nullable;

/** Rejects requests until the service that answers them is there. Thread safe. */
final class PeerServiceHolder implements PeerHandler {
    private volatile @Nullable PeerHandler service;

    void serve(PeerHandler value) {
        service = value;
    }

    @Override
    public PeerReply handle(PeerRequest request) {
        PeerHandler present = service;
        return present == null ? new PeerReply.Rejected("daemon: is starting") : present.handle(request);
    }
}
