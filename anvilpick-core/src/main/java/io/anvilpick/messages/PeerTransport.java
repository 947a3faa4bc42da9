package io.anvilpick.messages;

import io.anvilpick.time.Deadline;
import java.util.concurrent.CompletableFuture;

/** The port to other daemons. Implementations are thread safe. */
public interface PeerTransport {
    /**
     * Sends {@code request} to the daemon at {@code peerAddress}.
     *
     * @return completes with the reply, or with a {@link PeerException} once the deadline passes or the peer is lost
     */
    CompletableFuture<PeerReply> send(String peerAddress, PeerRequest request, Deadline deadline);
}
