package io.anvilpick.load.capacity;

import com.google.common.collect.ImmutableList;
import io.anvilpick.calls.DispatcherRegistry;
import io.anvilpick.claims.ClaimMap;
import io.anvilpick.claims.ClaimTable;
import io.anvilpick.claims.replication.LatestClaimMap;
import io.anvilpick.config.ActiveConfiguration;
import io.anvilpick.config.ConfigurationCodec;
import io.anvilpick.config.ConfigurationException;
import io.anvilpick.config.Snapshot;
import io.anvilpick.config.SnapshotAssembler;
import io.anvilpick.daemon.control.DaemonState;
import io.anvilpick.daemon.control.Gossip;
import io.anvilpick.daemon.control.MemberSample;
import io.anvilpick.daemon.control.PeerService;
import io.anvilpick.dispatch.Dispatcher;
import io.anvilpick.membership.Liveness;
import io.anvilpick.membership.Member;
import io.anvilpick.membership.MemberTable;
import io.anvilpick.messages.PeerException;
import io.anvilpick.messages.PeerReply;
import io.anvilpick.messages.PeerRequest;
import io.anvilpick.messages.PeerTransport;
import io.anvilpick.peer.MessageSize;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

/**
 * Runs the daemons' own gossip code in virtual time, in steps of one exchange, to find out how a new version spreads in
 * one region: a few watchers learn it from the platform, all others from peers.
 */
final class SpreadModel implements PeerTransport {
    private static final int SERVICES = 200;
    private static final int WATCHERS = 4;
    private static final Duration ROUND = Duration.ofMillis(500);
    private static final Duration HOP = Duration.ofMillis(3);
    private static final int IDLE_ROUNDS = 120;
    private static final int MOST_ROUNDS = 200;

    private final ManualTimeSource time = ManualTimeSource.startingAt(1);
    private final SplittableRandom random;
    private final List<Node> nodes = new ArrayList<>();
    private final Map<String, Node> byAddress = new HashMap<>();
    private final Deque<Runnable> atOnce = new ArrayDeque<>();
    private final Set<String> paused = new HashSet<>();
    private long messages;
    private long bytes;

    /** A daemon of the model. */
    record Node(
            Member member,
            MemberTable members,
            ActiveConfiguration activeConfiguration,
            PeerService service,
            Gossip gossip) {}

    /**
     * How a version spread.
     *
     * @param daemons daemons in the region
     * @param millis virtual milliseconds until the last one had it
     * @param messages messages sent for each daemon
     * @param bytes bytes sent for each daemon
     * @param idleBytesPerSecond bytes a second that each daemon sends while nothing changes
     * @param falseSuspects share of pairs of daemons of which one suspects the other after an idle minute
     */
    record Result(
            int daemons,
            double millis,
            double messages,
            double bytes,
            double idleBytesPerSecond,
            double falseSuspects) {}

    private SpreadModel(long seed) {
        this.random = new SplittableRandom(seed);
    }

    /** Spreads one version in a region of {@code daemons}. */
    static Result run(int daemons, long seed) throws ConfigurationException {
        SpreadModel model = new SpreadModel(seed);
        Snapshot first = SampleState.snapshot(SERVICES, 1);
        Snapshot second = SampleState.snapshot(SERVICES, 2);
        model.addNodes(daemons, first);
        double idleBytesPerSecond = model.idleBytesPerSecond();
        return model.spread(second, idleBytesPerSecond, model.falseSuspects());
    }

    /** Returns a region of {@code daemons} that all know each other and one version. */
    static SpreadModel settled(int daemons, long seed) throws ConfigurationException {
        SpreadModel model = new SpreadModel(seed);
        model.addNodes(daemons, SampleState.snapshot(1, 1));
        return model;
    }

    /** Returns the daemons. */
    List<Node> nodes() {
        return nodes;
    }

    /** Returns the virtual time in nanoseconds. */
    long nanos() {
        return time.nanos();
    }

    /** Stops {@code node}: it neither asks nor answers. */
    void pause(Node node) {
        paused.add(node.member().peerAddress());
    }

    /** Lets {@code node} go on where it stopped. */
    void resume(Node node) {
        paused.remove(node.member().peerAddress());
    }

    @Override
    public CompletableFuture<PeerReply> send(String peerAddress, PeerRequest request, Deadline deadline) {
        if (paused.contains(peerAddress)) {
            return CompletableFuture.failedFuture(new PeerException("no answer in time", false));
        }
        PeerReply reply = byAddress.get(peerAddress).service().handle(request);
        messages += 2;
        bytes += MessageSize.of(request) + MessageSize.of(reply);
        return CompletableFuture.completedFuture(reply);
    }

    private void addNodes(int daemons, Snapshot first) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < daemons; i++) {
            members.add(SampleState.member(i));
        }
        for (Member member : members) {
            Node node = newNode(member, members);
            node.activeConfiguration().offer(first);
            nodes.add(node);
            byAddress.put(member.peerAddress(), node);
        }
    }

    private Node newNode(Member own, List<Member> members) {
        MemberTable table = new MemberTable(own, time);
        members.forEach(table::merge);
        ActiveConfiguration activeConfiguration = new ActiveConfiguration();
        DispatcherRegistry dispatchers = new DispatcherRegistry(
                () -> Dispatcher.builder().time(time).random(random.split()).build());
        ClaimTable claims = new ClaimTable(own.instance(), ClaimMap.GROUP_COUNT, time);
        DaemonState state = new DaemonState(activeConfiguration, new LatestClaimMap(claims), table, dispatchers);
        MemberSample sample = new MemberSample(table, random.split());
        PeerService service = new PeerService(state, claims, sample);
        Gossip gossip = new Gossip(new Gossip.Parts(
                state,
                sample,
                this,
                new SnapshotAssembler(new ConfigurationCodec()),
                atOnce::add,
                time,
                random.split(),
                ImmutableList.of()));
        service.setGossip(gossip);
        return new Node(own, table, activeConfiguration, service, gossip);
    }

    private double idleBytesPerSecond() {
        int rounds = IDLE_ROUNDS;
        for (int i = 0; i < rounds; i++) {
            round();
        }
        double seconds = rounds * ROUND.toMillis() / 1_000.0;
        double perDaemon = bytes / seconds / nodes.size();
        messages = 0;
        bytes = 0;
        return perDaemon;
    }

    private Result spread(Snapshot second, double idleBytesPerSecond, double falseSuspects) {
        long start = time.nanos();
        for (Node watcher : nodes.subList(0, Math.min(WATCHERS, nodes.size()))) {
            watcher.activeConfiguration().offer(second);
            watcher.gossip().sendOwnState();
        }
        settle();
        for (int i = 0; i < MOST_ROUNDS && !isEverywhere(second); i++) {
            round();
        }
        double millis = (time.nanos() - start) / 1e6;
        return new Result(
                nodes.size(),
                millis,
                (double) messages / nodes.size(),
                (double) bytes / nodes.size(),
                idleBytesPerSecond,
                falseSuspects);
    }

    private double falseSuspects() {
        double suspects = 0;
        for (Node node : nodes) {
            suspects += node.members().withLiveness(Set.of(Liveness.SUSPECT)).size();
        }
        return suspects / nodes.size() / nodes.size();
    }

    /** Lets every daemon that is not paused do its round of gossip. */
    void round() {
        for (Node node : nodes) {
            if (!paused.contains(node.member().peerAddress())) {
                node.gossip().round();
            }
        }
        settle();
        time.advance(ROUND);
    }

    /** Lets news travel on: all fetches that are due run in one step, the next ones a hop later. */
    private void settle() {
        while (!atOnce.isEmpty()) {
            time.advance(HOP);
            List<Runnable> due = new ArrayList<>(atOnce);
            atOnce.clear();
            due.forEach(Runnable::run);
        }
    }

    private boolean isEverywhere(Snapshot snapshot) {
        return nodes.stream()
                .allMatch(node ->
                        node.activeConfiguration().version() >= snapshot.head().version());
    }
}
