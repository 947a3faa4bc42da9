package io.anvilpick.daemon;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.SessionProtocol;
import com.linecorp.armeria.server.Server;
import io.anvilpick.calls.DispatcherRegistry;
import io.anvilpick.claims.ClaimGroup;
import io.anvilpick.claims.ClaimMap;
import io.anvilpick.claims.ClaimTable;
import io.anvilpick.claims.replication.LatestClaimMap;
import io.anvilpick.claims.replication.ReplicaClient;
import io.anvilpick.config.ActiveConfiguration;
import io.anvilpick.config.Configuration;
import io.anvilpick.config.ConfigurationCodec;
import io.anvilpick.config.ConfigurationException;
import io.anvilpick.config.Contract;
import io.anvilpick.config.Operator;
import io.anvilpick.config.RequestConfig;
import io.anvilpick.config.ServiceConfig;
import io.anvilpick.config.Signatures;
import io.anvilpick.config.SnapshotAssembler;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.config.TenantConfig;
import io.anvilpick.daemon.control.DaemonState;
import io.anvilpick.daemon.control.MemberSample;
import io.anvilpick.daemon.control.PeerService;
import io.anvilpick.daemon.frontend.HeaderNames;
import io.anvilpick.daemon.metrics.CallMetrics;
import io.anvilpick.dispatch.TargetPolicy;
import io.anvilpick.membership.Member;
import io.anvilpick.membership.MemberTable;
import io.anvilpick.peer.PeerClient;
import io.anvilpick.peer.PeerServer;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Loads and compiles the code of the call path by running calls through a private instance of it before the daemon
 * accepts callers. An instance is used once, by one thread.
 *
 * <p>The private call path has its own configuration, claims, peer and target, all in this process on loopback ports.
 * Nothing of it remains after the run, and it is not announced to other daemons.
 */
final class WarmUp {
    private static final String SERVICE = "warm-up";
    private static final String TENANT = "warm-up";
    private static final String SELF = "warm-up-self";
    private static final String PEER = "warm-up-peer";
    private static final String LOOPBACK = "127.0.0.1";
    private static final int CALLERS = 16;
    private static final int SLOTS = 64;
    private static final int CALLS_PER_CHARGE = 4;
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final long YEAR_2100_MILLIS = 4_102_444_800_000L;
    private static final Duration MAX_DURATION = Duration.ofSeconds(10);
    private static final Signatures.Keys KEYS = Signatures.newKeys();

    private final CallPath.SharedResources resources;
    private final EventLoopGroup peerEventLoops;
    private final TimeSource time;
    private final AtomicInteger started = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();

    /** The number of calls made and the number of them that were answered with status 200. */
    record Result(int calls, int answered) {}

    WarmUp(CallPath.SharedResources resources, EventLoopGroup peerEventLoops) {
        this.resources = resources;
        this.peerEventLoops = peerEventLoops;
        this.time = resources.time();
    }

    /** Makes {@code calls} calls, or as many as the time limit allows, blocking until they have ended. */
    Result run(int calls) throws ConfigurationException, InterruptedException {
        Server target = newTarget();
        target.start().join();
        ClaimTable peerClaims = new ClaimTable(PEER, ClaimMap.GROUP_COUNT, time);
        ClaimTable ownClaims = new ClaimTable(SELF, ClaimMap.GROUP_COUNT, time);
        DaemonState peerState = newState(PEER, peerClaims, 0);
        try (PeerServer peer = listen(peerState, peerClaims);
                PeerClient peerClient = new PeerClient(peerEventLoops, time)) {
            DaemonState state = newState(SELF, ownClaims, peer.port());
            state.activeConfiguration()
                    .offer(new SnapshotAssembler(new ConfigurationCodec())
                            .sign(newConfiguration(target.activeLocalPort()), 1, SERVICE, KEYS.privateKey()));
            installClaims(state, ownClaims, peerState, peerClaims);
            PeerService ownService =
                    new PeerService(state, ownClaims, new MemberSample(state.members(), resources.random()));
            CallPath path = new CallPath(new CallPath.Parts(
                    new InetSocketAddress(LOOPBACK, 0),
                    Long.MAX_VALUE,
                    resources,
                    state,
                    new CallMetrics(state.activeConfiguration()),
                    new ReplicaClient(SELF, state.members(), peerClient, ownService),
                    message -> {},
                    () -> {
                        throw new IllegalStateException("the status of a warm-up must not be requested");
                    }));
            path.frontend().start();
            runCalls(path.frontend().port(), calls);
            path.frontend().close();
        } finally {
            target.stop().join();
        }
        return new Result(Math.min(started.get(), calls), answered.get());
    }

    private static Server newTarget() {
        return Server.builder()
                .localPort(0, SessionProtocol.HTTP)
                .service(
                        "prefix:/",
                        (context, request) -> HttpResponse.of(request.aggregate()
                                .thenApply(
                                        whole -> HttpResponse.of(HttpStatus.OK, MediaType.PLAIN_TEXT_UTF_8, TENANT))))
                .build();
    }

    private PeerServer listen(DaemonState state, ClaimTable claims) throws InterruptedException {
        MemberSample sample = new MemberSample(state.members(), resources.random());
        return PeerServer.listen(
                peerEventLoops, new InetSocketAddress(LOOPBACK, 0), new PeerService(state, claims, sample));
    }

    private DaemonState newState(String self, ClaimTable claims, int peerPort) {
        MemberTable members = new MemberTable(newMember(self, 0), time);
        members.merge(newMember(PEER, peerPort));
        DispatcherRegistry dispatchers =
                new DispatcherRegistry(() -> resources.newDispatcher(new TargetPolicy.LateBinding()));
        return new DaemonState(new ActiveConfiguration(), new LatestClaimMap(claims), members, dispatchers);
    }

    private static Member newMember(String instance, int peerPort) {
        return new Member(instance, LOOPBACK + ":0", LOOPBACK + ":" + peerPort, SERVICE, SERVICE, false, 1);
    }

    private static Configuration newConfiguration(int targetPort) {
        ServiceConfig service = ServiceConfig.builder(SERVICE)
                .slotsPerTarget(SLOTS)
                .requests(List.of(
                        new RequestConfig("lookup", "GET", "/", true, false, TIMEOUT_MILLIS, 0),
                        new RequestConfig("charge", "POST", "/", false, true, TIMEOUT_MILLIS, 0)))
                .targets(List.of(new TargetConfig("target", LOOPBACK, targetPort, SERVICE, false)))
                .build();
        Contract contract =
                new Contract(new Operator(SERVICE, KEYS.publicKey()), SERVICE, 1, YEAR_2100_MILLIS, Optional.empty());
        return new Configuration(
                contract, ImmutableList.of(new TenantConfig(TENANT, 1)), ImmutableSortedMap.of(SERVICE, service));
    }

    /** Installs a claim map in which this call path and its peer are the replicas of every group. */
    private static void installClaims(
            DaemonState state, ClaimTable ownClaims, DaemonState peerState, ClaimTable peerClaims) {
        ImmutableList.Builder<ClaimGroup> groups = ImmutableList.builder();
        for (int index = 0; index < ClaimMap.GROUP_COUNT; index++) {
            ownClaims.install(index, 1, SERVICE, ImmutableList.of());
            peerClaims.install(index, 1, SERVICE, ImmutableList.of());
            groups.add(new ClaimGroup(index, 1, SERVICE, 0, ImmutableList.of(SELF, PEER)));
        }
        ClaimMap map = new ClaimMap(1, groups.build());
        state.claimMap().updateIfNewer(map);
        peerState.claimMap().updateIfNewer(map);
    }

    private void runCalls(int port, int calls) throws InterruptedException {
        ImmutableList<WebClient> clients =
                ImmutableList.of(newClient(SessionProtocol.H1C, port), newClient(SessionProtocol.H2C, port));
        Deadline end = Deadline.after(time, MAX_DURATION);
        List<Future<?>> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            WebClient client = clients.get(i % clients.size());
            callers.add(resources.executor().submit(() -> runCaller(client, calls, end)));
        }
        for (Future<?> caller : callers) {
            try {
                caller.get();
            } catch (ExecutionException e) {
                throw new IllegalStateException("a caller thread of the warm-up failed", e.getCause());
            }
        }
    }

    private WebClient newClient(SessionProtocol protocol, int port) {
        return WebClient.builder(protocol.uriText() + "://" + LOOPBACK + ":" + port)
                .factory(resources.clients())
                .build();
    }

    private void runCaller(WebClient client, int calls, Deadline end) {
        while (started.incrementAndGet() <= calls && !end.hasPassed(time)) {
            boolean isCharge = started.get() % CALLS_PER_CHARGE == 0;
            RequestHeaders headers = RequestHeaders.builder(
                            isCharge ? HttpMethod.POST : HttpMethod.GET, "/s/" + SERVICE + "/rows")
                    .set(HeaderNames.TENANT, TENANT)
                    .set(HeaderNames.IDEMPOTENCY_KEY, UUID.randomUUID().toString())
                    .set(HttpHeaderNames.CONTENT_TYPE, MediaType.PLAIN_TEXT_UTF_8.toString())
                    .build();
            HttpStatus status =
                    client.execute(headers, TENANT).aggregate().join().status();
            if (status.equals(HttpStatus.OK)) {
                answered.incrementAndGet();
            }
        }
    }
}
