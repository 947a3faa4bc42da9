package io.anvilpick.messages;

import io.anvilpick.time.Deadline;
import java.util.concurrent.CompletableFuture;

/** Sends requests to other daemons. Implementations are thread safe. */
public interface PeerTransport {
    /**
     * Sends {@code request} to the daemon at {@code peerAddress}.
     *
     * @return completes with the reply; completes exceptionally with a {@link java.util.concurrent.TimeoutException} if
     *     the deadline passes while the reply is pending, or with a {@link PeerException} on any other failure
     */
    CompletableFuture<PeerReply> send(String peerAddress, PeerRequest request, Deadline deadline);
}
