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

/** Asks daemons by instance, this one without a detour over the network. Thread safe. */
public final class ReplicaClient {
    private final String self;
    private final MemberTable members;
    private final PeerTransport peers;
    private final PeerHandler local;

    /** Creates a caller for the daemon instance {@code self}, whose own requests go to {@code local}. */
    public ReplicaClient(String self, MemberTable members, PeerTransport peers, PeerHandler local) {
        this.self = self;
        this.members = members;
        this.peers = peers;
        this.local = local;
    }

    /** Sends {@code request} to {@code instance}; completes with a {@link PeerException} if it cannot be reached. */
    public CompletableFuture<PeerReply> send(String instance, PeerRequest request, Deadline deadline) {
        if (instance.equals(self)) {
            return CompletableFuture.completedFuture(local.handle(request));
        }
        Optional<MemberTable.MemberStatus> known = members.find(instance);
        if (known.isEmpty()) {
            return CompletableFuture.failedFuture(new PeerException("instance " + instance + " is not known", false));
        }
        return peers.send(known.get().member().peerAddress(), request, deadline);
    }
}
