package io.anvilpick.daemon;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import com.linecorp.armeria.client.ClientFactory;
import io.anvilpick.calls.DispatcherRegistry;
import io.anvilpick.claims.ClaimMap;
import io.anvilpick.claims.ClaimTable;
import io.anvilpick.claims.replication.ClaimMapStore;
import io.anvilpick.claims.replication.GroupMover;
import io.anvilpick.claims.replication.LatestClaimMap;
import io.anvilpick.claims.replication.ReplicaClient;
import io.anvilpick.config.ActiveConfiguration;
import io.anvilpick.config.ConfigurationCodec;
import io.anvilpick.config.ConfigurationException;
import io.anvilpick.config.ConfigurationStore;
import io.anvilpick.config.SnapshotAssembler;
import io.anvilpick.daemon.control.ConfigWatch;
import io.anvilpick.daemon.control.ControlLoops;
import io.anvilpick.daemon.control.DaemonState;
import io.anvilpick.daemon.control.Gossip;
import io.anvilpick.daemon.control.MemberSample;
import io.anvilpick.daemon.control.PeerService;
import io.anvilpick.daemon.control.Registration;
import io.anvilpick.daemon.frontend.HttpFront;
import io.anvilpick.daemon.frontend.StatusPage;
import io.anvilpick.daemon.metrics.CallMetrics;
import io.anvilpick.dispatch.Dispatcher;
import io.anvilpick.dispatch.TargetView;
import io.anvilpick.membership.Member;
import io.anvilpick.membership.MemberTable;
import io.anvilpick.peer.PeerClient;
import io.anvilpick.peer.PeerServer;
import io.anvilpick.platform.http.HttpPlatform;
import io.anvilpick.time.TimeSource;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.HashedWheelTimer;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;

/** A running daemon: every part, put together. */
public final class Daemon {
    private static final Logger LOG = Logger.getLogger(Daemon.class);
    private static final int PEER_THREADS = 2;
    private static final long ALARM_TICK_MILLIS = 2;
    private static final Duration HANDOVER_POLL = Duration.ofMillis(100);

    private final DaemonSettings settings;
    private final CallPath.Machinery machinery;
    private final TimeSource time;
    private final SecureRandom random;
    private final ConfigurationCodec codec = new ConfigurationCodec();
    private final ActiveConfiguration activeConfiguration = new ActiveConfiguration();
    private final CallMetrics metrics = new CallMetrics(activeConfiguration);
    private final DispatcherRegistry dispatchers = new DispatcherRegistry(this::newDispatcher);
    private final MemberTable members;
    private final Member self;
    private final DaemonState state;
    private final PeerServer peerServer;
    private final PeerClient peerClient;
    private final Gossip gossip;
    private final ControlLoops loops;
    private final HttpFront front;

    private Daemon(DaemonSettings settings, CallPath.Machinery machinery, EventLoopGroup peerThreads)
            throws InterruptedException {
        this.settings = settings;
        this.machinery = machinery;
        this.time = machinery.time();
        this.random = machinery.random();
        // The port towards peers is part of the daemon's description, so its server is bound before the rest is made.
        PeerServiceHolder late = new PeerServiceHolder();
        this.peerServer =
                PeerServer.listen(peerThreads, new InetSocketAddress(settings.host(), settings.peerPort()), late);
        this.peerClient = new PeerClient(peerThreads, time);
        this.self = describeSelf();
        this.members = new MemberTable(self, time);
        ClaimTable claimTable = new ClaimTable(self.instance(), ClaimMap.GROUP_COUNT, time);
        LatestClaimMap claimMap = new LatestClaimMap(claimTable);
        this.state = new DaemonState(activeConfiguration, claimMap, members, dispatchers);
        MemberSample sample = new MemberSample(members, random);
        PeerService peerService = new PeerService(state, claimTable, sample);
        late.serve(peerService);
        this.gossip = new Gossip(new Gossip.Parts(
                state,
                sample,
                peerClient,
                new SnapshotAssembler(codec),
                machinery.threads(),
                time,
                random,
                settings.seeds()));
        peerService.setGossip(gossip);
        ReplicaClient replicas = new ReplicaClient(self.instance(), members, peerClient, peerService);
        CallPath path = new CallPath(new CallPath.Parts(
                new InetSocketAddress(settings.host(), settings.callPort()),
                settings.mostHeldBytes(),
                machinery,
                state,
                metrics,
                replicas,
                gossip::broadcast,
                this::status));
        peerService.setCrashGuard(path.crashes());
        this.front = path.front();
        addGauges();
        this.loops = startLoops(claimTable, claimMap, replicas);
    }

    /**
     * Returns a daemon that serves, blocking until it has warmed up and listens.
     *
     * <p>No other daemon and no caller hears of it before it is warm, so that none waits for cold code.
     */
    public static Daemon start(DaemonSettings settings) throws InterruptedException {
        CallPath.Machinery machinery = new CallPath.Machinery(
                newClients(),
                Executors.newVirtualThreadPerTaskExecutor(),
                new HashedWheelTimer(ALARM_TICK_MILLIS, TimeUnit.MILLISECONDS),
                TimeSource.system(),
                new SecureRandom());
        EventLoopGroup peerThreads = new MultiThreadIoEventLoopGroup(PEER_THREADS, NioIoHandler.newFactory());
        warmUp(settings.warmUpCalls(), machinery, peerThreads);
        Daemon daemon = new Daemon(settings, machinery, peerThreads);
        daemon.front.start();
        LOG.infof(
                "event=daemon_started instance=%s calls=%s peers=%s region=%s zone=%s",
                daemon.self.instance(),
                daemon.self.callAddress(),
                daemon.self.peerAddress(),
                settings.region(),
                settings.zone());
        return daemon;
    }

    /** One event loop for each target, so that connections to it are shared and no more than its calls in flight. */
    private static ClientFactory newClients() {
        return ClientFactory.builder()
                .maxNumEventLoopsPerEndpoint(1)
                .maxNumEventLoopsPerHttp1Endpoint(1)
                .build();
    }

    /** A warm-up that fails costs speed at first and nothing else, so the daemon starts all the same. */
    private static void warmUp(int calls, CallPath.Machinery machinery, EventLoopGroup peerThreads)
            throws InterruptedException {
        if (calls == 0) {
            return;
        }
        long startNanos = machinery.time().nanos();
        try {
            WarmUp.Result result = new WarmUp(machinery, peerThreads).run(calls);
            long millis =
                    Duration.ofNanos(machinery.time().nanos() - startNanos).toMillis();
            LOG.infof("event=warmed_up calls=%d answered=%d millis=%d", result.calls(), result.answered(), millis);
        } catch (ConfigurationException | RuntimeException e) {
            LOG.warnf(e, "event=warm_up_failed");
        }
    }

    /**
     * Shuts down without cutting a call: leaves the answers to callers, hands over the claims it holds, serves callers
     * who keep its address, and ends once no call is in flight.
     */
    public void shutDown() throws InterruptedException {
        long startNanos = time.nanos();
        LOG.infof("event=daemon_leaving instance=%s", self.instance());
        members.markLeaving();
        front.leave();
        gossip.broadcastOwnState();
        long serveUntil = startNanos + Duration.ofMillis(settings.drainMillis()).toNanos();
        while (time.nanos() - serveUntil < 0) {
            Thread.sleep(HANDOVER_POLL);
        }
        boolean handedOver = !holdsClaims();
        front.close();
        loops.close();
        LOG.infof(
                "event=daemon_stopped instance=%s claims_handed_over=%s millis=%d",
                self.instance(),
                handedOver,
                Duration.ofNanos(time.nanos() - startNanos).toMillis());
        peerServer.close();
        peerClient.close();
    }

    private boolean holdsClaims() {
        return state.claimMap().current().groups().stream()
                .anyMatch(group -> group.replicas().contains(self.instance()));
    }

    private Member describeSelf() {
        String peerAddress = settings.advertisedPeer().isEmpty()
                ? settings.host() + ":" + peerServer.port()
                : settings.advertisedPeer();
        String callAddress = settings.host() + ":" + settings.callPort();
        String instance = callAddress + "#" + Long.toHexString(random.nextLong() & 0xffffffffL);
        return new Member(
                instance, callAddress, peerAddress, settings.region(), settings.zone(), false, time.epochMillis());
    }

    private Dispatcher newDispatcher() {
        return machinery.newDispatcher(settings.policy());
    }

    private ControlLoops startLoops(ClaimTable claimTable, LatestClaimMap claimMap, ReplicaClient replicas) {
        HttpPlatform platform = HttpPlatform.at(settings.platform(), machinery.clients(), time);
        ConfigWatch watch = new ConfigWatch(state, platform, new ConfigurationStore(platform, codec), gossip, time);
        GroupMover mover = GroupMover.builder(self.instance(), settings.region())
                .members(members)
                .maps(claimMap)
                .store(new ClaimMapStore(platform, codec, settings.region()))
                .replicas(replicas)
                .time(time)
                .random(random)
                .onMapWritten(gossip::broadcastOwnState)
                .build();
        return ControlLoops.start(
                new ControlLoops.Parts(state, gossip, watch, new Registration(platform, members), mover, claimTable),
                random);
    }

    private void addGauges() {
        metrics.gauge("anvilpick_config_version", activeConfiguration::version);
        metrics.gauge(
                "anvilpick_claim_map_version", () -> state.claimMap().current().version());
        metrics.gauge("anvilpick_members", () -> members.all().size());
        metrics.gauge(
                "anvilpick_calls_waiting",
                () -> dispatchers.all().values().stream()
                        .mapToInt(Dispatcher::waitingCalls)
                        .sum());
    }

    private StatusPage status() {
        ImmutableList.Builder<StatusPage.MemberLine> lines = ImmutableList.builder();
        for (MemberTable.MemberStatus known : members.all()) {
            lines.add(new StatusPage.MemberLine(
                    known.member().instance(),
                    known.member().callAddress(),
                    known.member().zone(),
                    known.liveness().name().toLowerCase(Locale.ROOT)));
        }
        ImmutableSortedMap.Builder<String, ImmutableList<TargetView>> services = ImmutableSortedMap.naturalOrder();
        dispatchers.all().forEach((name, dispatcher) -> services.put(name, dispatcher.targets()));
        return new StatusPage(
                self.instance(),
                settings.zone(),
                members.self().map(Member::leaving).orElse(false),
                activeConfiguration.version(),
                state.claimMap().current().version(),
                lines.build(),
                services.build());
    }
}
