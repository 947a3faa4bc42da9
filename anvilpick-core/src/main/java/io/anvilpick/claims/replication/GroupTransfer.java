package io.anvilpick.claims.replication;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.anvilpick.claims.ClaimGroup;
import io.anvilpick.claims.ClaimUnion;
import io.anvilpick.messages.InstallRequest;
import io.anvilpick.messages.PeerReply;
import io.anvilpick.messages.PeerRequest;
import io.anvilpick.messages.SealRequest;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Seals the old epoch of a group and installs the claims found there at its new replicas. Thread safe and non-blocking.
 *
 * <p>Installed claims have no effect until the claim map that names their change has been written.
 */
final class GroupTransfer {
    private static final Duration PEER_TIMEOUT = Duration.ofSeconds(2);

    private final ReplicaClient replicas;
    private final TimeSource time;
    private final String changeId;
    private final ImmutableSet<String> reachable;

    /**
     * Creates a transfer for one change of the map.
     *
     * @param changeId ID of the change; replicas activate only the claims installed under the ID in the written map
     * @param reachable instances that answer requests
     */
    GroupTransfer(ReplicaClient replicas, TimeSource time, String changeId, ImmutableSet<String> reachable) {
        this.replicas = replicas;
        this.time = time;
        this.changeId = changeId;
        this.reachable = reachable;
    }

    /**
     * Moves {@code group} to the replicas {@code to}.
     *
     * @return completes with the group in its new epoch; empty if no majority of the old replicas was sealed, or no
     *     majority of the new replicas stored the claims
     */
    CompletableFuture<Optional<ClaimGroup>> move(ClaimGroup group, ImmutableList<String> to) {
        return seal(group).thenCompose(union -> {
            if (union.sealedReplicas() < group.majority()) {
                return CompletableFuture.completedFuture(Optional.empty());
            }
            return install(next(group, group.trustedFromMillis(), to), union);
        });
    }

    /**
     * Starts a new epoch of {@code group} with the claims that can still be found.
     *
     * <p>Keys created before now are no longer trusted, except for the first epoch of the group.
     *
     * @return completes with the group in its new epoch; empty if no majority of the new replicas stored the claims
     */
    CompletableFuture<Optional<ClaimGroup>> restart(ClaimGroup group, ImmutableList<String> to) {
        boolean first = group.epoch() == 0;
        return seal(group).thenCompose(union -> install(next(group, first ? 0 : time.epochMillis(), to), union));
    }

    private ClaimGroup next(ClaimGroup group, long trustedFromMillis, ImmutableList<String> to) {
        return new ClaimGroup(group.index(), group.epoch() + 1, changeId, trustedFromMillis, to);
    }

    private CompletableFuture<ClaimUnion> seal(ClaimGroup group) {
        SealRequest request = new SealRequest(group.index(), group.epoch());
        return sendToAll(replicasToSeal(group), request).thenApply(replies -> {
            ClaimUnion union = new ClaimUnion();
            for (PeerReply reply : replies) {
                if (reply instanceof PeerReply.Sealed sealed) {
                    union.add(sealed.group());
                }
            }
            return union;
        });
    }

    /**
     * Returns the replicas to seal: the reachable ones if they are a majority, otherwise all.
     *
     * <p>Waiting for the unreachable replicas would only delay the calls of the group.
     */
    private ImmutableList<String> replicasToSeal(ClaimGroup group) {
        ImmutableList<String> answering =
                group.replicas().stream().filter(reachable::contains).collect(ImmutableList.toImmutableList());
        return answering.size() >= group.majority() ? answering : group.replicas();
    }

    private CompletableFuture<Optional<ClaimGroup>> install(ClaimGroup next, ClaimUnion union) {
        InstallRequest request = new InstallRequest(next.index(), next.epoch(), changeId, union.claims());
        return sendToAll(next.replicas(), request).thenApply(replies -> {
            long accepted = replies.stream()
                    .filter(reply -> reply instanceof PeerReply.Installed installed && installed.accepted())
                    .count();
            return accepted >= next.majority() ? Optional.of(next) : Optional.empty();
        });
    }

    /** Sends {@code request} to every instance. Completes with the replies once each has replied or failed. */
    private CompletableFuture<ImmutableList<PeerReply>> sendToAll(Collection<String> instances, PeerRequest request) {
        Deadline deadline = Deadline.after(time, PEER_TIMEOUT);
        ImmutableList<CompletableFuture<Optional<PeerReply>>> replies = instances.stream()
                .map(instance -> replicas.send(instance, request, deadline)
                        .handle((reply, failure) -> Optional.ofNullable(reply)))
                .collect(ImmutableList.toImmutableList());
        return CompletableFuture.allOf(replies.toArray(CompletableFuture[]::new))
                .thenApply(done -> replies.stream()
                        .flatMap(each -> each.join().stream())
                        .collect(ImmutableList.toImmutableList()));
    }
}
