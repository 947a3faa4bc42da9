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
import io.anvilpick.membership.MemberTable;
import io.anvilpick.messages.GossipRequest;
import io.anvilpick.messages.PartsRequest;
import io.anvilpick.messages.PeerException;
import io.anvilpick.messages.PeerReply;
import io.anvilpick.messages.PeerRequest;
import io.anvilpick.messages.Peers;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;

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

    private final Knowledge knowledge;
    private final MemberSample sample;
    private final Peers peers;
    private final SnapshotAssembler assembler;
    private final Executor threads;
    private final TimeSource time;
    private final RandomGenerator random;
    private final ImmutableList<String> seeds;
    private final AtomicBoolean fetching = new AtomicBoolean();

    /** What gossip works with; {@code random} must be thread safe. */
    public record Parts(
            Knowledge knowledge,
            MemberSample sample,
            Peers peers,
            SnapshotAssembler assembler,
            Executor threads,
            TimeSource time,
            RandomGenerator random,
            ImmutableList<String> seeds) {}

    /** Creates gossip that starts from the addresses in {@code parts.seeds()} where no member is known. */
    public Gossip(Parts parts) {
        this.knowledge = parts.knowledge();
        this.sample = parts.sample();
        this.peers = parts.peers();
        this.assembler = parts.assembler();
        this.threads = parts.threads();
        this.time = parts.time();
        this.random = parts.random();
        this.seeds = parts.seeds();
    }

    /** Raises the own beat and exchanges with a few peers, blocking until they have answered or failed. */
    public void round() throws InterruptedException {
        knowledge.members().beat();
        for (String address : addressesForRound()) {
            exchange(address, sample.members());
        }
    }

    /** Tells a few peers at once that there is news. */
    public void tellNews() {
        for (Member member : sample.others(PEERS_ON_NEWS)) {
            peers.ask(member.peerAddress(), request(sample.atMost(1)), Deadline.after(time, TIMEOUT));
        }
    }

    /** Tells every member of the region at once; for rare events only. */
    public void broadcast(PeerRequest message) {
        String region = knowledge.members().own().map(Member::region).orElse("");
        for (Member member : sample.others(Integer.MAX_VALUE)) {
            if (member.region().equals(region)) {
                peers.ask(member.peerAddress(), message, Deadline.after(time, TIMEOUT));
            }
        }
    }

    /** Tells every member of the region that this daemon is leaving. */
    public void broadcastOwnState() {
        broadcast(request(sample.atMost(1)));
    }

    /** Fetches what {@code member} knows beyond this daemon, on another thread, unless it is fetching already. */
    public void fetchNewsFrom(Member member) {
        if (!fetching.compareAndSet(false, true)) {
            return;
        }
        threads.execute(() -> {
            try {
                exchange(member.peerAddress(), sample.atMost(1));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                fetching.set(false);
            }
        });
    }

    private GossipRequest request(ImmutableList<Member> told) {
        return new GossipRequest(
                knowledge.inForce().version(),
                knowledge.claimMaps().current().version(),
                knowledge.leaving().asOfMillis(),
                told);
    }

    /** A suspect is asked now and then too, so that one whose word got lost, or that was cut off, is found again. */
    private List<String> addressesForRound() {
        List<String> addresses = new ArrayList<>();
        sample.others(PEERS_PER_ROUND).forEach(member -> addresses.add(member.peerAddress()));
        ImmutableList<Member> suspects = knowledge.members().withLiveness(Set.of(Liveness.SUSPECT));
        if (!suspects.isEmpty()) {
            addresses.add(suspects.get(random.nextInt(suspects.size())).peerAddress());
        }
        if (addresses.isEmpty() && !seeds.isEmpty()) {
            addresses.add(seeds.get(random.nextInt(seeds.size())));
        }
        return addresses;
    }

    private void exchange(String address, ImmutableList<Member> told) throws InterruptedException {
        try {
            PeerReply reply = peers.ask(address, request(told), Deadline.after(time, TIMEOUT))
                    .get();
            if (reply instanceof PeerReply.Gossip gossip) {
                take(address, gossip);
            }
        } catch (ExecutionException e) {
            if (e.getCause() instanceof PeerException failure && failure.refused()) {
                markGone(address, Optional.empty());
            }
        }
    }

    private void take(String address, PeerReply.Gossip gossip) throws InterruptedException {
        gossip.members().forEach(knowledge.members()::merge);
        if (!gossip.members().isEmpty()) {
            markGone(address, Optional.of(gossip.members().get(0).instance()));
        }
        gossip.leaving().ifPresent(knowledge::offerLeaving);
        boolean news = gossip.claimMap().map(knowledge.claimMaps()::offer).orElse(false);
        if (gossip.head().isPresent()) {
            news |= takeHead(address, gossip.head().get());
        }
        if (news) {
            tellNews();
        }
    }

    private boolean takeHead(String address, SignedHead signed) {
        try {
            Snapshot previous = knowledge.inForce().snapshot().orElse(null);
            Snapshot next = assembler.assemble(signed, previous, digests -> fetch(address, digests));
            Optional<String> refusal = knowledge.inForce().offer(next);
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
        PartsRequest wanted = new PartsRequest(ImmutableSet.copyOf(digests));
        try {
            PeerReply reply =
                    peers.ask(address, wanted, Deadline.after(time, TIMEOUT)).get();
            return reply instanceof PeerReply.Parts parts ? parts.texts() : ImmutableMap.of();
        } catch (ExecutionException e) {
            throw new ConfigurationException("parts: peer " + address + " did not answer");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ConfigurationException("parts: interrupted");
        }
    }

    /** Every instance at {@code address} but the one that answers there has ended. */
    private void markGone(String address, Optional<String> present) {
        for (MemberTable.Known known : knowledge.members().all()) {
            Member member = known.member();
            boolean isPresent = present.isPresent() && present.get().equals(member.instance());
            if (member.peerAddress().equals(address) && !isPresent && known.liveness() != Liveness.GONE) {
                knowledge.members().markGone(member.instance());
                LOG.infof("event=member_gone instance=%s", member.instance());
            }
        }
    }
}
