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
 * Runs calls through a private copy of the way of a call before the daemon takes callers, so that the code they need is
 * loaded and compiled by then. Used once, by one thread.
 *
 * <p>The copy has its own configuration, claims, peer and target, all in this process on loopback ports; nothing of it
 * is left when it ends, and no other daemon learns of it.
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
    private static final long ANSWER_WITHIN_MILLIS = 5_000;
    private static final long YEAR_2100_MILLIS = 4_102_444_800_000L;
    private static final Duration MOST_TIME = Duration.ofSeconds(10);
    private static final Signatures.Keys KEYS = Signatures.newKeys();

    private final CallPath.Machinery machinery;
    private final EventLoopGroup peerThreads;
    private final TimeSource time;
    private final AtomicInteger started = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();

    /** How it went: calls made, and how many of them were answered. */
    record Result(int calls, int answered) {}

    WarmUp(CallPath.Machinery machinery, EventLoopGroup peerThreads) {
        this.machinery = machinery;
        this.peerThreads = peerThreads;
        this.time = machinery.time();
    }

    /** Makes {@code calls} calls, or as many as fit into the time for it, blocking until they have ended. */
    Result run(int calls) throws ConfigurationException, InterruptedException {
        Server target = target();
        target.start().join();
        ClaimTable peerClaims = new ClaimTable(PEER, ClaimMap.GROUP_COUNT, time);
        ClaimTable ownClaims = new ClaimTable(SELF, ClaimMap.GROUP_COUNT, time);
        DaemonState peerState = newState(PEER, peerClaims, 0);
        try (PeerServer peer = listen(peerState, peerClaims);
                PeerClient peerClient = new PeerClient(peerThreads, time)) {
            DaemonState state = newState(SELF, ownClaims, peer.port());
            state.activeConfiguration()
                    .offer(new SnapshotAssembler(new ConfigurationCodec())
                            .sign(configuration(target.activeLocalPort()), 1, SERVICE, KEYS.privateKey()));
            serveClaims(state, ownClaims, peerState, peerClaims);
            PeerService own = new PeerService(state, ownClaims, new MemberSample(state.members(), machinery.random()));
            CallPath path = new CallPath(new CallPath.Parts(
                    new InetSocketAddress(LOOPBACK, 0),
                    Long.MAX_VALUE,
                    machinery,
                    state,
                    new CallMetrics(state.activeConfiguration()),
                    new ReplicaClient(SELF, state.members(), peerClient, own),
                    message -> {},
                    () -> {
                        throw new IllegalStateException("nobody asks for the status of a warm-up");
                    }));
            path.front().start();
            call(path.front().port(), calls);
            path.front().close();
        } finally {
            target.stop().join();
        }
        return new Result(Math.min(started.get(), calls), answered.get());
    }

    private static Server target() {
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
        MemberSample sample = new MemberSample(state.members(), machinery.random());
        return PeerServer.listen(
                peerThreads, new InetSocketAddress(LOOPBACK, 0), new PeerService(state, claims, sample));
    }

    private DaemonState newState(String self, ClaimTable claims, int peerPort) {
        MemberTable members = new MemberTable(member(self, 0), time);
        members.merge(member(PEER, peerPort));
        DispatcherRegistry dispatchers =
                new DispatcherRegistry(() -> machinery.newDispatcher(new TargetPolicy.LateBinding()));
        return new DaemonState(new ActiveConfiguration(), new LatestClaimMap(claims), members, dispatchers);
    }

    private static Member member(String instance, int peerPort) {
        return new Member(instance, LOOPBACK + ":0", LOOPBACK + ":" + peerPort, SERVICE, SERVICE, false, 1);
    }

    private static Configuration configuration(int targetPort) {
        ServiceConfig service = ServiceConfig.builder(SERVICE)
                .slotsPerTarget(SLOTS)
                .requests(List.of(
                        new RequestConfig("lookup", "GET", "/", true, false, ANSWER_WITHIN_MILLIS, 0),
                        new RequestConfig("charge", "POST", "/", false, true, ANSWER_WITHIN_MILLIS, 0)))
                .targets(List.of(new TargetConfig("target", LOOPBACK, targetPort, SERVICE, false)))
                .build();
        Contract contract =
                new Contract(new Operator(SERVICE, KEYS.publicKey()), SERVICE, 1, YEAR_2100_MILLIS, Optional.empty());
        return new Configuration(
                contract, ImmutableList.of(new TenantConfig(TENANT, 1)), ImmutableSortedMap.of(SERVICE, service));
    }

    /** Puts a claim map in force whose groups this copy and its peer share. */
    private static void serveClaims(
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

    private void call(int port, int calls) throws InterruptedException {
        ImmutableList<WebClient> clients =
                ImmutableList.of(client(SessionProtocol.H1C, port), client(SessionProtocol.H2C, port));
        Deadline end = Deadline.after(time, MOST_TIME);
        List<Future<?>> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            WebClient client = clients.get(i % clients.size());
            callers.add(machinery.threads().submit(() -> callUntil(client, calls, end)));
        }
        for (Future<?> caller : callers) {
            try {
                caller.get();
            } catch (ExecutionException e) {
                throw new IllegalStateException("a call of the warm-up failed", e.getCause());
            }
        }
    }

    private WebClient client(SessionProtocol protocol, int port) {
        return WebClient.builder(protocol.uriText() + "://" + LOOPBACK + ":" + port)
                .factory(machinery.clients())
                .build();
    }

    private void callUntil(WebClient client, int calls, Deadline end) {
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
