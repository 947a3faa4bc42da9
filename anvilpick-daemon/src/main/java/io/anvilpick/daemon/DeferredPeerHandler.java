package io.anvilpick.daemon;

import io.anvilpick.messages.PeerHandler;
import io.anvilpick.messages.PeerReply;
import io.anvilpick.messages.PeerRequest;
import org.jspecify.annotations.Nullable;

/** A peer handler that rejects requests until its delegate is set. Thread safe. */
final class DeferredPeerHandler implements PeerHandler {
    private volatile @Nullable PeerHandler delegate;

    void setDelegate(PeerHandler value) {
        delegate = value;
    }

    @Override
    public PeerReply handle(PeerRequest request) {
        PeerHandler current = delegate;
        return current == null ? new PeerReply.Rejected("daemon: is starting") : current.handle(request);
    }
}
