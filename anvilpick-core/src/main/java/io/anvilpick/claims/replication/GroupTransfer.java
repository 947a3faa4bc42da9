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
 * Seals a group's old epoch and hands the claims found there to its new replicas. Thread safe; blocks no thread.
 *
 * <p>What is installed counts for nothing until the map that names it has been written.
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
     * @param changeId names the change to replicas, so that only the one that was written is activated
     * @param reachable instances that answer
     */
    GroupTransfer(ReplicaClient replicas, TimeSource time, String changeId, ImmutableSet<String> reachable) {
        this.replicas = replicas;
        this.time = time;
        this.changeId = changeId;
        this.reachable = reachable;
    }

    /** Moves {@code group} to the replicas {@code to}; empty if no majority of old or new replicas took part. */
    CompletableFuture<Optional<ClaimGroup>> move(ClaimGroup group, ImmutableList<String> to) {
        return seal(group).thenCompose(union -> {
            if (union.sealedReplicas() < group.majority()) {
                return CompletableFuture.completedFuture(Optional.empty());
            }
            return install(next(group, group.trustedFromMillis(), to), union);
        });
    }

    /** Starts {@code group} anew with what can still be found of it; keys from before are not trusted. */
    CompletableFuture<Optional<ClaimGroup>> restart(ClaimGroup group, ImmutableList<String> to) {
        boolean first = group.epoch() == 0;
        return seal(group).thenCompose(union -> install(next(group, first ? 0 : time.epochMillis(), to), union));
    }

    private ClaimGroup next(ClaimGroup group, long trustedFromMillis, ImmutableList<String> to) {
        return new ClaimGroup(group.index(), group.epoch() + 1, changeId, trustedFromMillis, to);
    }

    private CompletableFuture<ClaimUnion> seal(ClaimGroup group) {
        SealRequest request = new SealRequest(group.index(), group.epoch());
        return askAll(worthAsking(group), request).thenApply(replies -> {
            ClaimUnion union = new ClaimUnion();
            for (PeerReply reply : replies) {
                if (reply instanceof PeerReply.Sealed sealed) {
                    union.add(sealed.group());
                }
            }
            return union;
        });
    }

    /** Replicas that answer, where they are a majority: to wait for the others would only hold up the group's calls. */
    private ImmutableList<String> worthAsking(ClaimGroup group) {
        ImmutableList<String> answering =
                group.replicas().stream().filter(reachable::contains).collect(ImmutableList.toImmutableList());
        return answering.size() >= group.majority() ? answering : group.replicas();
    }

    private CompletableFuture<Optional<ClaimGroup>> install(ClaimGroup next, ClaimUnion union) {
        InstallRequest request = new InstallRequest(next.index(), next.epoch(), changeId, union.claims());
        return askAll(next.replicas(), request).thenApply(replies -> {
            long kept = replies.stream()
                    .filter(reply -> reply instanceof PeerReply.Installed installed && installed.accepted())
                    .count();
            return kept >= next.majority() ? Optional.of(next) : Optional.empty();
        });
    }

    /** Completes once every instance has answered or failed; those that failed are left out. */
    private CompletableFuture<ImmutableList<PeerReply>> askAll(Collection<String> instances, PeerRequest request) {
        Deadline deadline = Deadline.after(time, PEER_TIMEOUT);
        ImmutableList<CompletableFuture<Optional<PeerReply>>> asked = instances.stream()
                .map(instance -> replicas.send(instance, request, deadline)
                        .handle((reply, failure) -> Optional.ofNullable(reply)))
                .collect(ImmutableList.toImmutableList());
        return CompletableFuture.allOf(asked.toArray(CompletableFuture[]::new))
                .thenApply(done ->
                        asked.stream().flatMap(each -> each.join().stream()).collect(ImmutableList.toImmutableList()));
    }
}
