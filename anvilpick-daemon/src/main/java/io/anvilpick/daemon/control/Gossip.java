package io.anvilpick.daemon.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.anvilpick.config.ConfigurationException;
import io.anvilpick.config.SignedHead;
import io.anvilpick.config.Snapshot;
import io.anvilpick.config.SnapshotAssembler;
import io.anvilpick.membership.Liveness;
import io.anvilpick.membership.Member;
import io.anvilpick.membership.MemberDigest;
import io.anvilpick.membership.MemberTable;
import io.anvilpick.messages.ConfigPartsRequest;
import io.anvilpick.messages.GossipRequest;
import io.anvilpick.messages.PeerException;
import io.anvilpick.messages.PeerReply;
import io.anvilpick.messages.PeerRequest;
import io.anvilpick.messages.PeerTransport;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Exchanges state between daemons by gossip, with a few randomly selected peers in each round and immediately after an
 * update. Thread safe.
 *
 * <p>A message contains versions and a few members. A daemon with older versions requests the missing data, which keeps
 * the traffic of an idle fleet small.
 */
public final class Gossip {
    private static final Logger LOG = Logger.getLogger(Gossip.class);
    private static final int PEERS_PER_ROUND = 2;
    private static final int PEERS_ON_UPDATE = 3;
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final DaemonState state;
    private final MemberSample sample;
    private final PeerTransport peers;
    private final SnapshotAssembler assembler;
    private final Executor executor;
    private final TimeSource time;
    private final RandomGenerator random;
    private final ImmutableList<String> seeds;
    private final AtomicBoolean fetching = new AtomicBoolean();
    private final AtomicReference<@Nullable NewerVersions> pendingVersions = new AtomicReference<>();
    private final Set<String> pendingAddresses = ConcurrentHashMap.newKeySet();

    /** The collaborators of gossip. {@code random} must be thread safe. */
    public record Parts(
            DaemonState state,
            MemberSample sample,
            PeerTransport peers,
            SnapshotAssembler assembler,
            Executor executor,
            TimeSource time,
            RandomGenerator random,
            ImmutableList<String> seeds) {}

    /** Creates gossip that contacts the addresses in {@code parts.seeds()} while every other known member is gone. */
    public Gossip(Parts parts) {
        this.state = parts.state();
        this.sample = parts.sample();
        this.peers = parts.peers();
        this.assembler = parts.assembler();
        this.executor = parts.executor();
        this.time = parts.time();
        this.random = parts.random();
        this.seeds = parts.seeds();
    }

    /**
     * Increments this daemon's heartbeat and starts an exchange with a few peers without waiting for their replies. A
     * peer that does not reply therefore delays neither the heartbeat nor the other exchanges. A peer whose previous
     * exchange is still pending is skipped.
     */
    public void round() {
        state.members().incrementHeartbeat();
        for (String address : addressesForRound()) {
            if (pendingAddresses.add(address)) {
                exchange(address, sample.digest()).whenComplete((done, failure) -> pendingAddresses.remove(address));
            }
        }
    }

    /** Sends the versions of this daemon to a few randomly selected peers immediately. */
    public void sendOwnState() {
        for (Member member : sample.randomPeers(PEERS_ON_UPDATE)) {
            peers.send(member.peerAddress(), request(sample.ownDigest()), Deadline.after(time, TIMEOUT));
        }
    }

    /** Sends {@code message} to every other live or leaving member of the region immediately. For rare events only. */
    public void broadcast(PeerRequest message) {
        String region = state.members().self().map(Member::region).orElse("");
        for (Member member : sample.randomPeers(Integer.MAX_VALUE)) {
            if (member.region().equals(region)) {
                peers.send(member.peerAddress(), message, Deadline.after(time, TIMEOUT));
            }
        }
    }

    /**
     * Sends the versions of this daemon, and whether it is leaving, to every other live or leaving member of the region
     * immediately.
     */
    public void broadcastOwnState() {
        broadcast(request(sample.ownDigest()));
    }

    /**
     * Fetches the newer state from the source of {@code versions} on another thread. While a fetch is running, only the
     * latest {@code versions} are kept. They are fetched afterwards if they are still newer than those of this daemon.
     */
    void fetchNewer(NewerVersions versions) {
        pendingVersions.set(versions);
        if (fetching.compareAndSet(false, true)) {
            executor.execute(this::fetchLatest);
        }
    }

    private void fetchLatest() {
        NewerVersions versions = pendingVersions.getAndSet(null);
        if (versions == null || !isNewer(versions)) {
            fetching.set(false);
            resumeIfPending();
            return;
        }
        exchange(versions.source().peerAddress(), sample.ownDigest())
                .whenComplete((done, failure) -> executor.execute(this::fetchLatest));
    }

    /**
     * Resumes fetching if versions were reported between the last check and the end of fetching. Without this they
     * would wait for the next round.
     */
    private void resumeIfPending() {
        if (pendingVersions.get() != null && fetching.compareAndSet(false, true)) {
            executor.execute(this::fetchLatest);
        }
    }

    private boolean isNewer(NewerVersions versions) {
        return versions.configVersion() > state.activeConfiguration().version()
                || versions.claimMapVersion() > state.claimMap().current().version();
    }

    private GossipRequest request(MemberDigest digest) {
        return new GossipRequest(
                state.activeConfiguration().version(),
                state.claimMap().current().version(),
                state.leaving().asOfMillis(),
                digest);
    }

    /**
     * Returns the addresses for one round: random peers and one random suspect, or a seed if there are neither.
     * Querying a suspect rediscovers a member whose messages were lost or that was unreachable for a time.
     */
    private List<String> addressesForRound() {
        List<String> addresses = new ArrayList<>();
        sample.randomPeers(PEERS_PER_ROUND).forEach(member -> addresses.add(member.peerAddress()));
        ImmutableList<Member> suspects = state.members().withLiveness(Set.of(Liveness.SUSPECT));
        if (!suspects.isEmpty()) {
            addresses.add(suspects.get(random.nextInt(suspects.size())).peerAddress());
        }
        if (addresses.isEmpty() && !seeds.isEmpty()) {
            addresses.add(seeds.get(random.nextInt(seeds.size())));
        }
        return addresses;
    }

    /**
     * Sends a request to the peer at {@code address}. The future completes once the reply has been processed or the
     * exchange has failed.
     */
    private CompletableFuture<Void> exchange(String address, MemberDigest digest) {
        return peers.send(address, request(digest), Deadline.after(time, TIMEOUT))
                .thenAcceptAsync(reply -> onReply(address, reply), executor)
                .whenComplete((done, failure) -> onExchangeEnd(address, failure));
    }

    private void onExchangeEnd(String address, @Nullable Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof PeerException peerFailure && peerFailure.connectionRefused()) {
            markGone(address, Optional.empty());
        }
    }

    private void onReply(String address, PeerReply reply) {
        if (!(reply instanceof PeerReply.Gossip gossip)) {
            return;
        }
        state.members().merge(gossip.members());
        ImmutableList<Member> replied = gossip.members().members();
        if (!replied.isEmpty()) {
            markGone(address, Optional.of(replied.get(0).instance()));
        }
        gossip.leaving().ifPresent(state::updateLeavingIfNewer);
        boolean updated = gossip.claimMap().map(state.claimMap()::updateIfNewer).orElse(false);
        if (gossip.head().isPresent()) {
            updated |= activateHead(address, gossip.head().get());
        }
        if (updated) {
            sendOwnState();
        }
    }

    private boolean activateHead(String address, SignedHead signed) {
        try {
            Snapshot previous = state.activeConfiguration().snapshot().orElse(null);
            Snapshot next = assembler.assemble(signed, previous, digests -> fetchParts(address, digests));
            Optional<String> rejection = state.activeConfiguration().offer(next);
            if (rejection.isPresent()) {
                LOG.debugf("event=configuration_refused source=%s reason=\"%s\"", address, rejection.get());
                return false;
            }
            LOG.infof(
                    "event=configuration_in_force version=%d source=peer",
                    next.head().version());
            return true;
        } catch (ConfigurationException e) {
            LOG.warnf("event=configuration_unusable source=%s reason=\"%s\"", address, e.getMessage());
            return false;
        }
    }

    private ImmutableMap<String, String> fetchParts(String address, Set<String> digests) throws ConfigurationException {
        ConfigPartsRequest partsRequest = new ConfigPartsRequest(ImmutableSet.copyOf(digests));
        try {
            PeerReply reply = peers.send(address, partsRequest, Deadline.after(time, TIMEOUT))
                    .get();
            return reply instanceof PeerReply.ConfigParts parts ? parts.texts() : ImmutableMap.of();
        } catch (ExecutionException e) {
            throw new ConfigurationException("configuration parts: the request to peer " + address + " failed");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ConfigurationException("configuration parts: interrupted while waiting for the reply of a peer");
        }
    }

    /**
     * Marks every instance at {@code address} as gone except {@code currentInstance}, which replied from there. Only
     * one process can listen on an address. If {@code currentInstance} is empty, because the address refused the
     * connection, all of them are marked.
     */
    private void markGone(String address, Optional<String> currentInstance) {
        for (MemberTable.MemberStatus status : state.members().all()) {
            Member member = status.member();
            boolean isCurrent =
                    currentInstance.isPresent() && currentInstance.get().equals(member.instance());
            if (member.peerAddress().equals(address) && !isCurrent && status.liveness() != Liveness.GONE) {
                state.members().markGone(member.instance());
                LOG.infof("event=member_gone instance=%s", member.instance());
            }
        }
    }
}
