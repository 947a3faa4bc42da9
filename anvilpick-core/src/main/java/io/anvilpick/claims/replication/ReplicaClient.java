package io.anvilpick.claims.replication;

import io.anvilpick.membership.MemberTable;
import io.anvilpick.messages.PeerException;
import io.anvilpick.messages.PeerHandler;
import io.anvilpick.messages.PeerReply;
import io.anvilpick.messages.PeerRequest;
import io.anvilpick.messages.PeerTransport;
import io.anvilpick.time.Deadline;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Sends requests to daemons by instance ID, and handles requests to this daemon locally. Thread safe. */
public final class ReplicaClient {
    private final String self;
    private final MemberTable members;
    private final PeerTransport peers;
    private final PeerHandler local;

    /**
     * Creates a client for the daemon instance {@code self}. Requests to that instance are handled by {@code local}.
     */
    public ReplicaClient(String self, MemberTable members, PeerTransport peers, PeerHandler local) {
        this.self = self;
        this.members = members;
        this.peers = peers;
        this.local = local;
    }

    /**
     * Sends {@code request} to {@code instance}.
     *
     * @return completes with the reply, or exceptionally if the instance is unknown, cannot be reached or does not
     *     reply by {@code deadline}, with the exceptions of {@link PeerTransport#send}
     */
    public CompletableFuture<PeerReply> send(String instance, PeerRequest request, Deadline deadline) {
        if (instance.equals(self)) {
            return CompletableFuture.completedFuture(local.handle(request));
        }
        Optional<MemberTable.MemberStatus> status = members.find(instance);
        if (status.isEmpty()) {
            return CompletableFuture.failedFuture(new PeerException("instance " + instance + " is unknown", false));
        }
        return peers.send(status.get().member().peerAddress(), request, deadline);
    }
}
