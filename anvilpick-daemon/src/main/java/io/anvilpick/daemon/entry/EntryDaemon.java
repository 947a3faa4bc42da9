package io.anvilpick.daemon.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.linecorp.armeria.common.CommonPools;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.SessionProtocol;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import io.anvilpick.calls.Sender;
import io.anvilpick.crashes.CrashHistory;
import io.anvilpick.daemon.metrics.EntryMetrics;
import io.anvilpick.daemon.target.connections.NettyTargetClient;
import io.anvilpick.daemon.target.connections.TargetHeaders;
import io.anvilpick.entry.EntryCrashGuard;
import io.anvilpick.entry.EntryDispatchers;
import io.anvilpick.entry.EntryEvents;
import io.anvilpick.entry.EntryRunner;
import io.anvilpick.fleet.EntryAddressSelector;
import io.anvilpick.fleet.FleetDecoder;
import io.anvilpick.fleet.FleetState;
import io.anvilpick.fleet.FleetStore;
import io.anvilpick.fleet.FleetView;
import io.anvilpick.fleet.RelayLog;
import io.anvilpick.fleet.sync.FleetFollower;
import io.anvilpick.fleet.sync.FleetRelays;
import io.anvilpick.fleet.sync.MemberRegistrar;
import io.anvilpick.limits.HeldBytes;
import io.anvilpick.peer.PeerClient;
import io.anvilpick.peer.PeerServer;
import io.anvilpick.time.TimeSource;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/** An entry daemon that takes requests by host and path, from start to shutdown. Thread safe. */
public final class EntryDaemon {
    private static final Logger LOG = Logger.getLogger(EntryDaemon.class);
    private static final MediaType SCRAPER_TEXT = MediaType.parse("text/plain; version=0.0.4; charset=utf-8");

    /** Time for closing connections once no request is in flight. */
    private static final Duration CLOSING = Duration.ofMillis(150);

    /** Time between looks for registrations that have not come back. */
    private static final Duration EXPIRY_EVERY = Duration.ofMillis(300);

    private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(2);
    private static final long MOST_BODY_BYTES = 64L * 1024 * 1024;
    private static final int MOST_HEADER_BYTES = 64 * 1024;
    private static final int PART_OF_HEAP_FOR_BODIES = 4;

    private final SettingsInForce settings;
    private final TimeSource time = TimeSource.system();
    private final Shutdown shutdown = new Shutdown();
    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    private final EntryMetrics metrics = new EntryMetrics();
    private final EntryDispatchers dispatchers;
    private final FleetState state;
    private final FleetFollower follower;
    private final EntryPeers peers;
    private final EventLoopGroup loops = CommonPools.workerGroup();
    private final MemberRegistrar registrar;
    private final EntryAddressSelector addresses;
    private final Server server;

    private EntryDaemon(Builder builder) {
        EntrySettings first = checkNotNull(builder.settings, "settings");
        this.settings = new SettingsInForce(first);
        FleetStore store = checkNotNull(builder.store, "store");
        TargetHeaders headers = checkNotNull(builder.headers, "headers");
        this.dispatchers = new EntryDispatchers(
                time, SplittableRandom::new, first.extraCalls(), first.self().zone());
        this.state = new FleetState(time, dispatchers::update);
        RelayLog relayLog = new RelayLog(time);
        PeerClient others = new PeerClient(loops, time);
        CrashHistory crashes = new CrashHistory(time);
        this.peers = new EntryPeers(new EntryPeers.Parts(others, state::view, first.self(), relayLog, crashes, time));
        FleetRelays relays = new FleetRelays(others, state::view, first.self(), time);
        this.follower = FleetFollower.of(new FleetFollower.Parts(
                store, checkNotNull(builder.decoder, "decoder"), state, relayLog, relays, time));
        this.registrar = new MemberRegistrar(store, state, relayLog, relays, first.self());
        this.addresses = new EntryAddressSelector(state::view, first.self());
        this.server = newServer(builder, callsThrough(headers, crashes), headers);
        registerGauges();
    }

    /** Returns a builder. */
    public static Builder builder() {
        return new Builder();
    }

    private EntryRunner callsThrough(TargetHeaders headers, CrashHistory ledger) {
        NettyTargetClient targets = new NettyTargetClient(loops, headers, time);
        EntryCrashGuard crashes = new EntryCrashGuard(ledger, targets, peers::tell, time);
        EntryEvents events = new EntryEvents(metrics, time);
        Sender sender = new Sender(
                targets, crashes, events, time, (nanos, action) -> loops.schedule(action, nanos, TimeUnit.NANOSECONDS));
        return new EntryRunner(new EntryRunner.Parts(state::view, dispatchers, sender, targets, crashes, events, time));
    }

    private Server newServer(Builder builder, EntryRunner calls, TargetHeaders headers) {
        HeldBytes bodies = HeldBytes.atMost(Runtime.getRuntime().maxMemory() / PART_OF_HEAP_FOR_BODIES);
        EntryService service = new EntryService(calls, headers, threads, time, shutdown, bodies);
        EntrySettings first = settings.current();
        ServerBuilder server = Server.builder()
                .port(first.callAddress(), SessionProtocol.HTTP)
                .port(first.metricsAddress(), SessionProtocol.HTTP)
                .requestTimeoutMillis(0)
                .maxRequestLength(MOST_BODY_BYTES)
                .http1MaxHeaderSize(MOST_HEADER_BYTES)
                .http1MaxInitialLineLength(MOST_HEADER_BYTES)
                .idleTimeout(IDLE_TIMEOUT)
                .gracefulShutdownTimeoutMillis(0, 0)
                .serviceUnder("/", service);
        for (Page page : builder.pages) {
            if (page.address().getPort() != first.metricsAddress().getPort()) {
                server.port(page.address(), SessionProtocol.HTTP);
            }
            server.virtualHost(page.address().getPort())
                    .service(page.path(), page.answer().of(this));
        }
        server.virtualHost(first.metricsAddress().getPort()).service("/metrics", (context, request) -> {
            return HttpResponse.of(HttpStatus.OK, SCRAPER_TEXT, metrics.scrape());
        });
        return server.build();
    }

    private void registerGauges() {
        metrics.gauge("anvilpick_requests_in_flight", shutdown::inFlight);
        metrics.gauge("anvilpick_members_known", () -> state.view().members().size());
        metrics.gauge(
                "anvilpick_configuration_version",
                () -> state.view().configuration().map(each -> each.version()).orElse(0L));
    }

    /** Starts to follow the store and to listen; blocks until the daemon listens. */
    public void start() throws InterruptedException {
        Repeated.start("follower", follower::step);
        server.start().join();
        PeerServer.listen(loops, peers.address(), peers);
        EntrySettings first = settings.current();
        LOG.infof(
                "event=started name=%s zone=%s calls=%s metrics=%s",
                first.self().name(), first.self().zone(), first.callAddress(), first.metricsAddress());
        Repeated.start("membership", registrar::step);
        Repeated.start("expiry", () -> {
            state.expire();
            return EXPIRY_EVERY;
        });
    }

    /** Goes by {@code next} from now on, as far as a running daemon can; calls in flight are not touched. */
    public void reload(EntrySettings next) {
        dispatchers.updateBudget(settings.change(next).extraCalls());
    }

    /** Returns the settings in force. */
    public EntrySettings settings() {
        return settings.current();
    }

    /** Returns whether callers should be sent here. */
    public boolean isReady() {
        return !shutdown.isLeaving() && state.view().configuration().isPresent();
    }

    /** Returns the addresses for a caller in {@code zone} of {@code region}; none if no daemon takes callers. */
    public ImmutableList<String> addressesFor(String region, String zone) {
        return addresses.addressesFor(region, zone, isReady());
    }

    /** Returns what the daemon believes now. */
    public FleetView view() {
        return state.view();
    }

    /** Serves on for a part of the grace while callers turn elsewhere, and returns when no request is left. */
    public void shutDown() throws InterruptedException {
        long startNanos = time.nanos();
        LOG.infof("event=leaving in_flight=%d", shutdown.inFlight());
        shutdown.leave();
        Thread.ofVirtual().name("leave").start(registrar::leave);
        ShutdownPlan plan = ShutdownPlan.within(settings.current().grace());
        Thread.sleep(plan.serving());
        shutdown.refuse();
        Duration used = Duration.ofNanos(time.nanos() - startNanos);
        boolean idle = shutdown.awaitIdle(plan.ending().minus(used));
        LOG.infof("event=stopped idle=%b in_flight=%d", idle, shutdown.inFlight());
        threads.shutdown();
        try {
            server.stop().get(CLOSING.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            LOG.infof("event=connections_left_open reason=\"%s\"", e.getClass().getSimpleName());
        }
    }

    /** What a page answers with, made once the daemon is there. */
    @FunctionalInterface
    public interface PageAnswer {
        /** Returns the service of the page. */
        HttpService of(EntryDaemon daemon);
    }

    private record Page(InetSocketAddress address, String path, PageAnswer answer) {}

    /** Builds an {@link EntryDaemon}. Not thread safe. */
    public static final class Builder {
        private @Nullable EntrySettings settings;
        private @Nullable FleetStore store;
        private @Nullable FleetDecoder decoder;
        private @Nullable TargetHeaders headers;
        private final List<Page> pages = new ArrayList<>();

        private Builder() {}

        /** Sets the settings. */
        public Builder settings(EntrySettings value) {
            settings = value;
            return this;
        }

        /** Sets the store to follow. */
        public Builder store(FleetStore value) {
            store = value;
            return this;
        }

        /** Sets what reads the items of the store. */
        public Builder decoder(FleetDecoder value) {
            decoder = value;
            return this;
        }

        /** Sets the names of headers that callers and targets use. */
        public Builder headers(TargetHeaders value) {
            headers = value;
            return this;
        }

        /** Adds a page at {@code path} of an address of its own. */
        public Builder page(InetSocketAddress address, String path, PageAnswer answer) {
            pages.add(new Page(address, path, answer));
            return this;
        }

        /**
         * Returns the daemon, which does not listen yet.
         *
         * @throws NullPointerException if settings, store, decoder or headers were not set
         */
        public EntryDaemon build() {
            return new EntryDaemon(this);
        }
    }
}
