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
 * Exchanges what daemons know by gossip: each round a few peers drawn at random, and at once on news. Thread safe.
 *
 * <p>A message carries versions and a few members; whoever is behind asks for what it lacks, so that an idle fleet sends
 * little.
 */
public final class Gossip {
    private static final Logger LOG = Logger.getLogger(Gossip.class);
    private static final int PEERS_PER_ROUND = 2;
    private static final int PEERS_ON_NEWS = 3;
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final DaemonState state;
    private final MemberSample sample;
    private final PeerTransport peers;
    private final SnapshotAssembler assembler;
    private final Executor threads;
    private final TimeSource time;
    private final RandomGenerator random;
    private final ImmutableList<String> seeds;
    private final AtomicBoolean fetching = new AtomicBoolean();
    private final AtomicReference<@Nullable News> latestNews = new AtomicReference<>();
    private final Set<String> asked = ConcurrentHashMap.newKeySet();

    /** What gossip works with; {@code random} must be thread safe. */
    public record Parts(
            DaemonState state,
            MemberSample sample,
            PeerTransport peers,
            SnapshotAssembler assembler,
            Executor threads,
            TimeSource time,
            RandomGenerator random,
            ImmutableList<String> seeds) {}

    /** Creates gossip that starts from the addresses in {@code parts.seeds()} where no member is known. */
    public Gossip(Parts parts) {
        this.state = parts.state();
        this.sample = parts.sample();
        this.peers = parts.peers();
        this.assembler = parts.assembler();
        this.threads = parts.threads();
        this.time = parts.time();
        this.random = parts.random();
        this.seeds = parts.seeds();
    }

    /**
     * Raises the own beat and starts an exchange with a few peers, without waiting for their answers, so that a peer that
     * does not answer holds up neither the beat nor the others. A peer that still owes an answer is not asked again.
     */
    public void round() {
        state.members().incrementHeartbeat();
        for (String address : addressesForRound()) {
            if (asked.add(address)) {
                exchange(address, sample.digest()).whenComplete((done, failure) -> asked.remove(address));
            }
        }
    }

    /** Tells a few peers at once that there is news. */
    public void sendOwnState() {
        for (Member member : sample.others(PEERS_ON_NEWS)) {
            peers.send(member.peerAddress(), request(sample.ownDigest()), Deadline.after(time, TIMEOUT));
        }
    }

    /** Tells every member of the region at once; for rare events only. */
    public void broadcast(PeerRequest message) {
        String region = state.members().self().map(Member::region).orElse("");
        for (Member member : sample.others(Integer.MAX_VALUE)) {
            if (member.region().equals(region)) {
                peers.send(member.peerAddress(), message, Deadline.after(time, TIMEOUT));
            }
        }
    }

    /** Tells every member of the region at once what versions this daemon knows, and whether it is leaving. */
    public void broadcastOwnState() {
        broadcast(request(sample.ownDigest()));
    }

    /**
     * Fetches what the source of {@code news} knows beyond this daemon, on another thread. While it fetches already, the
     * latest news is kept, and fetched afterwards if this daemon still lacks it.
     */
    void fetch(News news) {
        latestNews.set(news);
        if (fetching.compareAndSet(false, true)) {
            threads.execute(this::fetchLatest);
        }
    }

    private void fetchLatest() {
        News news = latestNews.getAndSet(null);
        if (news == null || !isNews(news)) {
            fetching.set(false);
            fetchWhatCameMeanwhile();
            return;
        }
        exchange(news.source().peerAddress(), sample.ownDigest())
                .whenComplete((done, failure) -> threads.execute(this::fetchLatest));
    }

    /** News that came between the last look and the end of fetching would otherwise wait for the next round. */
    private void fetchWhatCameMeanwhile() {
        if (latestNews.get() != null && fetching.compareAndSet(false, true)) {
            threads.execute(this::fetchLatest);
        }
    }

    private boolean isNews(News news) {
        return news.configVersion() > state.activeConfiguration().version()
                || news.claimMapVersion() > state.claimMap().current().version();
    }

    private GossipRequest request(MemberDigest told) {
        return new GossipRequest(
                state.activeConfiguration().version(),
                state.claimMap().current().version(),
                state.leaving().asOfMillis(),
                told);
    }

    /** A suspect is asked now and then too, so that one whose word got lost, or that was cut off, is found again. */
    private List<String> addressesForRound() {
        List<String> addresses = new ArrayList<>();
        sample.others(PEERS_PER_ROUND).forEach(member -> addresses.add(member.peerAddress()));
        ImmutableList<Member> suspects = state.members().withLiveness(Set.of(Liveness.SUSPECT));
        if (!suspects.isEmpty()) {
            addresses.add(suspects.get(random.nextInt(suspects.size())).peerAddress());
        }
        if (addresses.isEmpty() && !seeds.isEmpty()) {
            addresses.add(seeds.get(random.nextInt(seeds.size())));
        }
        return addresses;
    }

    /** Asks the peer at {@code address}; the future completes once its answer has been taken in, or has failed. */
    private CompletableFuture<Void> exchange(String address, MemberDigest told) {
        return peers.send(address, request(told), Deadline.after(time, TIMEOUT))
                .thenAcceptAsync(reply -> take(address, reply), threads)
                .whenComplete((done, failure) -> noteFailure(address, failure));
    }

    private void noteFailure(String address, @Nullable Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof PeerException peerFailure && peerFailure.connectionRefused()) {
            markGone(address, Optional.empty());
        }
    }

    private void take(String address, PeerReply reply) {
        if (!(reply instanceof PeerReply.Gossip gossip)) {
            return;
        }
        state.members().merge(gossip.members());
        ImmutableList<Member> told = gossip.members().members();
        if (!told.isEmpty()) {
            markGone(address, Optional.of(told.get(0).instance()));
        }
        gossip.leaving().ifPresent(state::updateLeavingIfNewer);
        boolean news = gossip.claimMap().map(state.claimMap()::updateIfNewer).orElse(false);
        if (gossip.head().isPresent()) {
            news |= takeHead(address, gossip.head().get());
        }
        if (news) {
            sendOwnState();
        }
    }

    private boolean takeHead(String address, SignedHead signed) {
        try {
            Snapshot previous = state.activeConfiguration().snapshot().orElse(null);
            Snapshot next = assembler.assemble(signed, previous, digests -> fetch(address, digests));
            Optional<String> refusal = state.activeConfiguration().offer(next);
            if (refusal.isPresent()) {
                LOG.debugf("event=configuration_refused source=%s reason=\"%s\"", address, refusal.get());
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

    private ImmutableMap<String, String> fetch(String address, Set<String> digests) throws ConfigurationException {
        ConfigPartsRequest wanted = new ConfigPartsRequest(ImmutableSet.copyOf(digests));
        try {
            PeerReply reply =
                    peers.send(address, wanted, Deadline.after(time, TIMEOUT)).get();
            return reply instanceof PeerReply.ConfigParts parts ? parts.texts() : ImmutableMap.of();
        } catch (ExecutionException e) {
            throw new ConfigurationException("parts: peer " + address + " did not answer");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ConfigurationException("parts: interrupted");
        }
    }

    /** Every instance at {@code address} but the one that answers there has ended. */
    private void markGone(String address, Optional<String> present) {
        for (MemberTable.MemberStatus known : state.members().all()) {
            Member member = known.member();
            boolean isPresent = present.isPresent() && present.get().equals(member.instance());
            if (member.peerAddress().equals(address) && !isPresent && known.liveness() != Liveness.GONE) {
                state.members().markGone(member.instance());
                LOG.infof("event=member_gone instance=%s", member.instance());
            }
        }
    }
}
