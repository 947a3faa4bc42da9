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
import io.anvilpick.daemon.control.MemberRegistration;
import io.anvilpick.daemon.control.MemberSample;
import io.anvilpick.daemon.control.PeerService;
import io.anvilpick.daemon.frontend.HttpFrontend;
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

/** A running daemon, which creates all components and connects them. */
public final class Daemon {
    private static final Logger LOG = Logger.getLogger(Daemon.class);
    private static final int PEER_THREADS = 2;
    private static final long TIMER_TICK_MILLIS = 2;
    private static final Duration DRAIN_POLL = Duration.ofMillis(100);

    private final DaemonSettings settings;
    private final CallPath.SharedResources resources;
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
    private final HttpFrontend frontend;

    private Daemon(DaemonSettings settings, CallPath.SharedResources resources, EventLoopGroup peerEventLoops)
            throws InterruptedException {
        this.settings = settings;
        this.resources = resources;
        this.time = resources.time();
        this.random = resources.random();
        // The daemon's member entry contains its peer port, so the peer server is bound before the other parts are
        // created.
        DeferredPeerHandler deferredHandler = new DeferredPeerHandler();
        this.peerServer = PeerServer.listen(
                peerEventLoops, new InetSocketAddress(settings.host(), settings.peerPort()), deferredHandler);
        this.peerClient = new PeerClient(peerEventLoops, time);
        this.self = describeSelf();
        this.members = new MemberTable(self, time);
        ClaimTable claimTable = new ClaimTable(self.instance(), ClaimMap.GROUP_COUNT, time);
        LatestClaimMap claimMap = new LatestClaimMap(claimTable);
        this.state = new DaemonState(activeConfiguration, claimMap, members, dispatchers);
        MemberSample sample = new MemberSample(members, random);
        PeerService peerService = new PeerService(state, claimTable, sample);
        deferredHandler.setDelegate(peerService);
        this.gossip = new Gossip(new Gossip.Parts(
                state,
                sample,
                peerClient,
                new SnapshotAssembler(codec),
                resources.executor(),
                time,
                random,
                settings.seeds()));
        peerService.setGossip(gossip);
        ReplicaClient replicas = new ReplicaClient(self.instance(), members, peerClient, peerService);
        CallPath path = new CallPath(new CallPath.Parts(
                new InetSocketAddress(settings.host(), settings.callPort()),
                settings.maxHeldBytes(),
                resources,
                state,
                metrics,
                replicas,
                gossip::broadcast,
                this::status));
        peerService.setCrashGuard(path.crashGuard());
        this.frontend = path.frontend();
        addGauges();
        this.loops = startLoops(claimTable, claimMap, replicas);
    }

    /**
     * Starts a daemon and returns it, blocking until it has warmed up and listens for callers.
     *
     * <p>The daemon does not register or listen before it is warm. Otherwise callers and other daemons would wait while
     * its code is loaded and compiled.
     */
    public static Daemon start(DaemonSettings settings) throws InterruptedException {
        CallPath.SharedResources resources = new CallPath.SharedResources(
                newClientFactory(),
                Executors.newVirtualThreadPerTaskExecutor(),
                new HashedWheelTimer(TIMER_TICK_MILLIS, TimeUnit.MILLISECONDS),
                TimeSource.system(),
                new SecureRandom());
        EventLoopGroup peerEventLoops = new MultiThreadIoEventLoopGroup(PEER_THREADS, NioIoHandler.newFactory());
        warmUp(settings.warmUpCalls(), resources, peerEventLoops);
        Daemon daemon = new Daemon(settings, resources, peerEventLoops);
        daemon.frontend.start();
        LOG.infof(
                "event=daemon_started instance=%s calls=%s peers=%s region=%s zone=%s",
                daemon.self.instance(),
                daemon.self.callAddress(),
                daemon.self.peerAddress(),
                settings.region(),
                settings.zone());
        return daemon;
    }

    /**
     * Creates a client factory with one event loop for each target. All calls to a target then share its connections,
     * which never outnumber its calls in flight.
     */
    private static ClientFactory newClientFactory() {
        return ClientFactory.builder()
                .maxNumEventLoopsPerEndpoint(1)
                .maxNumEventLoopsPerHttp1Endpoint(1)
                .build();
    }

    /** Runs the warm-up. A failure only makes the first calls slower, so the daemon starts anyway. */
    private static void warmUp(int calls, CallPath.SharedResources resources, EventLoopGroup peerEventLoops)
            throws InterruptedException {
        if (calls == 0) {
            return;
        }
        long startNanos = resources.time().nanos();
        try {
            WarmUp.Result result = new WarmUp(resources, peerEventLoops).run(calls);
            long millis =
                    Duration.ofNanos(resources.time().nanos() - startNanos).toMillis();
            LOG.infof("event=warmed_up calls=%d answered=%d millis=%d", result.calls(), result.answered(), millis);
        } catch (ConfigurationException | RuntimeException e) {
            LOG.warnf(e, "event=warm_up_failed");
        }
    }

    /**
     * Drains and stops the daemon. From the start of the drain time its address is no longer returned to callers, and
     * its claims are handed over. During the drain time it still serves callers that use its address. It then waits for
     * calls in flight, up to the limit of {@link HttpFrontend#close}.
     */
    public void shutDown() throws InterruptedException {
        long startNanos = time.nanos();
        LOG.infof("event=daemon_leaving instance=%s", self.instance());
        members.markLeaving();
        frontend.leave();
        gossip.broadcastOwnState();
        long drainEndNanos =
                startNanos + Duration.ofMillis(settings.drainMillis()).toNanos();
        while (time.nanos() - drainEndNanos < 0) {
            Thread.sleep(DRAIN_POLL);
        }
        boolean handedOver = !holdsClaims();
        frontend.close();
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
        return resources.newDispatcher(settings.policy());
    }

    private ControlLoops startLoops(ClaimTable claimTable, LatestClaimMap claimMap, ReplicaClient replicas) {
        HttpPlatform platform = HttpPlatform.at(settings.platform(), resources.clients(), time);
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
                new ControlLoops.Parts(
                        state, gossip, watch, new MemberRegistration(platform, members), mover, claimTable),
                random,
                metrics::loopFault);
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
        for (MemberTable.MemberStatus status : members.all()) {
            lines.add(new StatusPage.MemberLine(
                    status.member().instance(),
                    status.member().callAddress(),
                    status.member().zone(),
                    status.liveness().name().toLowerCase(Locale.ROOT)));
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
