package io.anvilpick.messages;

import io.anvilpick.time.Deadline;
import java.util.concurrent.CompletableFuture;

/** Sends requests to other daemons. Implementations are thread safe. */
public interface PeerTransport {
    /**
     * Sends {@code request} to the daemon at {@code peerAddress}.
     *
     * @return completes with the reply, or exceptionally if the deadline passes or the peer is lost, with a
     *     {@link PeerException} or a {@link java.util.concurrent.TimeoutException}
     */
    CompletableFuture<PeerReply> send(String peerAddress, PeerRequest request, Deadline deadline);
}
