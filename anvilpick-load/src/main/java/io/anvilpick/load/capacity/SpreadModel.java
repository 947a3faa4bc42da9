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
 * Simulates how a new version of the configuration spreads in one region. Runs the daemons' own gossip code in virtual
 * time, in steps of one exchange. A few watchers receive the version from the platform, all other daemons from peers.
 */
final class SpreadModel implements PeerTransport {
    private static final int SERVICES = 200;
    private static final int WATCHERS = 4;
    private static final Duration ROUND_INTERVAL = Duration.ofMillis(500);
    private static final Duration HOP_DELAY = Duration.ofMillis(3);
    private static final int IDLE_ROUNDS = 120;
    private static final int MAX_ROUNDS = 200;

    private final ManualTimeSource time = ManualTimeSource.startingAt(1);
    private final SplittableRandom random;
    private final List<Node> nodes = new ArrayList<>();
    private final Map<String, Node> nodesByAddress = new HashMap<>();
    private final Deque<Runnable> pendingTasks = new ArrayDeque<>();
    private final Set<String> paused = new HashSet<>();
    private long messages;
    private long bytes;

    /** A simulated daemon. */
    record Node(
            Member member,
            MemberTable members,
            ActiveConfiguration activeConfiguration,
            PeerService service,
            Gossip gossip) {}

    /**
     * Measurements of the spread of one version.
     *
     * @param daemons daemons in the region
     * @param millis virtual milliseconds until all daemons had the version, checked before each gossip round
     * @param messages messages sent per daemon
     * @param bytes bytes sent per daemon
     * @param idleBytesPerSecond bytes per second sent per daemon while nothing changes
     * @param falseSuspects share of pairs of daemons in which one suspects the other after an idle minute
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

    /** Simulates the spread of one version in a region of {@code daemons}. */
    static Result run(int daemons, long seed) throws ConfigurationException {
        SpreadModel model = new SpreadModel(seed);
        Snapshot first = SampleState.snapshot(SERVICES, 1);
        Snapshot second = SampleState.snapshot(SERVICES, 2);
        model.addNodes(daemons, first);
        double idleBytesPerSecond = model.idleBytesPerSecond();
        return model.spread(second, idleBytesPerSecond, model.falseSuspects());
    }

    /** Returns a region of {@code daemons} that all have the same version and all hold each other in their member tables. */
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

    /** Pauses {@code node}, which then neither sends nor answers requests. */
    void pause(Node node) {
        paused.add(node.member().peerAddress());
    }

    /** Resumes {@code node} with the state that it had when it was paused. */
    void resume(Node node) {
        paused.remove(node.member().peerAddress());
    }

    @Override
    public CompletableFuture<PeerReply> send(String peerAddress, PeerRequest request, Deadline deadline) {
        if (paused.contains(peerAddress)) {
            return CompletableFuture.failedFuture(new PeerException("no answer in time", false));
        }
        PeerReply reply = nodesByAddress.get(peerAddress).service().handle(request);
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
            nodesByAddress.put(member.peerAddress(), node);
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
                pendingTasks::add,
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
        double seconds = rounds * ROUND_INTERVAL.toMillis() / 1_000.0;
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
        runPendingTasks();
        for (int i = 0; i < MAX_ROUNDS && !isEverywhere(second); i++) {
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

    /** Runs one gossip round of every daemon that is not paused. */
    void round() {
        for (Node node : nodes) {
            if (!paused.contains(node.member().peerAddress())) {
                node.gossip().round();
            }
        }
        runPendingTasks();
        time.advance(ROUND_INTERVAL);
    }

    /** Runs pending tasks until none is left. Tasks that are added in one step run in the next step, a hop delay later. */
    private void runPendingTasks() {
        while (!pendingTasks.isEmpty()) {
            time.advance(HOP_DELAY);
            List<Runnable> due = new ArrayList<>(pendingTasks);
            pendingTasks.clear();
            due.forEach(Runnable::run);
        }
    }

    private boolean isEverywhere(Snapshot snapshot) {
        return nodes.stream()
                .allMatch(node ->
                        node.activeConfiguration().version() >= snapshot.head().version());
    }
}
