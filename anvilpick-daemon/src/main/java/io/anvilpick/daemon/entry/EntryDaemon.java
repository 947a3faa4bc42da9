package io.anvilpick.daemon.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.linecorp.armeria.common.CommonPools;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.Server;
import io.anvilpick.allowances.AllowanceGrantor;
import io.anvilpick.allowances.AllowanceLimiter;
import io.anvilpick.allowances.GrantorMembers;
import io.anvilpick.allowances.PeerAllowanceLimiter;
import io.anvilpick.calls.Sender;
import io.anvilpick.crashes.CrashHistory;
import io.anvilpick.crashes.CrashReportLedger;
import io.anvilpick.daemon.metrics.EntryMetrics;
import io.anvilpick.daemon.target.connections.NettyTargetClient;
import io.anvilpick.daemon.target.connections.TargetHeaders;
import io.anvilpick.entry.EntryCrashGuard;
import io.anvilpick.entry.EntryDispatchers;
import io.anvilpick.entry.EntryEvents;
import io.anvilpick.entry.EntryRunner;
import io.anvilpick.entry.RequestAuthorizer;
import io.anvilpick.fleet.EntryAddressSelector;
import io.anvilpick.fleet.FleetDecoder;
import io.anvilpick.fleet.FleetState;
import io.anvilpick.fleet.FleetStore;
import io.anvilpick.fleet.FleetView;
import io.anvilpick.fleet.RelayLog;
import io.anvilpick.fleet.ViewFreshness;
import io.anvilpick.fleet.sync.CrashReportWriter;
import io.anvilpick.fleet.sync.FleetFollower;
import io.anvilpick.fleet.sync.FleetRelays;
import io.anvilpick.fleet.sync.MemberRegistrar;
import io.anvilpick.limits.HeldBytes;
import io.anvilpick.peer.PeerClient;
import io.anvilpick.peer.PeerServer;
import io.anvilpick.routes.RouteConfiguration;
import io.anvilpick.tenants.TenantTable;
import io.anvilpick.time.Deadline;
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

/** An entry daemon, which accepts requests by host and path and sends them to targets. Thread safe. */
public final class EntryDaemon {
    private static final Logger LOG = Logger.getLogger(EntryDaemon.class);

    /** Maximum time to close the connections once the wait for requests in flight has ended. */
    private static final Duration CLOSE_TIMEOUT = Duration.ofMillis(150);

    /**
     * The share of the maximum heap that is the limit on the bytes of bodies held at a time. A request body counts with its
     * declared length from the start; other bodies count as their bytes arrive. An answer alone may hold a quarter of the heap.
     */
    private static final double BODY_LIMIT_HEAP_SHARE = 8.0 / 31;

    private final ActiveSettings settings;
    private final TimeSource time = TimeSource.system();
    private final Shutdown shutdown = new Shutdown(time);
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final EntryMetrics metrics = new EntryMetrics(time);
    private final LoopHealth loopHealth = new LoopHealth(time);
    private final EntryDispatchers dispatchers;
    private final EntryRunner runner;
    private final ConfigurationListeners configurationListeners;
    private final FleetState state;
    private final ViewFreshness freshness;
    private final GrantorMembers grantorMembers;
    private final EntryPeers peers;
    private final EventLoopGroup eventLoops = CommonPools.workerGroup();
    private final MemberRegistrar registrar;
    private final EntryLoops loops;
    private final EntryAddressSelector addressSelector;
    private final Server server;

    private EntryDaemon(Builder builder) {
        EntrySettings initial = checkNotNull(builder.settings, "settings");
        this.settings = new ActiveSettings(initial);
        FleetStore store = checkNotNull(builder.store, "store");
        TargetHeaders headers = checkNotNull(builder.headers, "headers");
        this.dispatchers = new EntryDispatchers(
                time,
                SplittableRandom::new,
                initial.extraCalls(),
                initial.self().zone(),
                initial.self().name(),
                initial.spillsBetweenZones());
        dispatchers.setProbeLimit(initial.probesPerSecond());
        this.freshness = new ViewFreshness(time, initial.watchTimes().bound());
        this.grantorMembers = new GrantorMembers(
                time, initial.self().name(), freshness::provenAge, this::lapsedMembers, initial.bootstrap());
        CrashHistory crashes = new CrashHistory(time);
        CrashReportLedger crashReports = new CrashReportLedger(time, crashes, this::turnToWriteCrashReports);
        this.state = new FleetState(time, this::update, crashReports);
        RelayLog relayLog = new RelayLog(time);
        PeerClient peerClient = new PeerClient(eventLoops, time);
        AllowanceGrantor grantor =
                new AllowanceGrantor(time, initial.self().name(), grantorMembers, this::activeTenants);
        this.peers = new EntryPeers(new EntryPeers.Parts(
                peerClient, state::view, initial.self(), relayLog, crashes, crashReports, grantor, time));
        PeerAllowanceLimiter allowances = new PeerAllowanceLimiter(new PeerAllowanceLimiter.Parts(
                time,
                initial.self().name(),
                grantorMembers,
                grantor,
                peerClient,
                initial.allowanceBounds(),
                metrics.allowanceCounts(),
                SplittableRandom::new));
        FleetRelays.DirectReaders directReaders = initial.watchTimes().coversTwoRelays()
                ? FleetRelays.DirectReaders.ONE_PER_REGION
                : FleetRelays.DirectReaders.ONE_PER_ZONE;
        FleetRelays relays = new FleetRelays(peerClient, state::view, initial.self(), time, directReaders);
        FleetFollower follower = FleetFollower.of(new FleetFollower.Parts(
                store,
                checkNotNull(builder.decoder, "decoder"),
                state,
                relayLog,
                relays,
                freshness,
                initial.watchTimes(),
                time));
        this.registrar = new MemberRegistrar(store, state, initial.self(), time);
        this.loops = new EntryLoops(
                new EntryLoops.Parts(
                        follower,
                        state,
                        registrar,
                        new CrashReportWriter(store, state, crashReports, crashes, initial.self(), time),
                        grantorMembers,
                        freshness,
                        new SpillReporter(dispatchers::all, metrics::zoneSpill)),
                loopHealth,
                metrics);
        this.addressSelector = new EntryAddressSelector(state::view, initial.self());
        HeldBytes heldBodies = HeldBytes.atMost((long) (Runtime.getRuntime().maxMemory() * BODY_LIMIT_HEAP_SHARE));
        this.runner = newRunner(headers, crashes, heldBodies, allowances);
        this.configurationListeners = new ConfigurationListeners(ImmutableList.of(
                metrics::retain,
                runner::retain,
                inForce -> grantor.retain(inForce.tenants()),
                inForce -> allowances.retain(inForce.tenants())));
        this.server = EntryServer.create(
                initial,
                new EntryService(runner, headers, executor, time, shutdown, heldBodies),
                metrics::scrape,
                builder.pages.stream().map(page -> page.of(this)).toList());
        EntryGauges.register(metrics, shutdown, state, freshness, loopHealth);
        metrics.gauge("anvilpick_crash_reports_unstored", crashReports::unstoredReports);
    }

    /** Returns a builder of a daemon. */
    public static Builder builder() {
        return new Builder();
    }

    private ImmutableSet<String> lapsedMembers() {
        return state.lapsedMembers();
    }

    private Deadline turnToWriteCrashReports() {
        return CrashReportWriter.turnOf(settings.current().self(), state.view(), time);
    }

    private TenantTable activeTenants() {
        return state.view().configuration().map(RouteConfiguration::tenants).orElseGet(TenantTable::none);
    }

    private void update(FleetView view) {
        grantorMembers.observe(view);
        dispatchers.update(view);
        configurationListeners.update(view);
    }

    private EntryRunner newRunner(
            TargetHeaders headers, CrashHistory history, HeldBytes heldBodies, AllowanceLimiter allowances) {
        NettyTargetClient targets = new NettyTargetClient(eventLoops, headers, time, heldBodies);
        EntryCrashGuard crashes = new EntryCrashGuard(
                history,
                targets,
                peers::reportCrash,
                time,
                target -> !state.view().evacuatedZones().contains(target.zone()));
        EntryEvents events = new EntryEvents(metrics, time);
        Sender sender = new Sender(
                targets,
                crashes,
                events,
                time,
                (nanos, action) -> eventLoops.schedule(action, nanos, TimeUnit.NANOSECONDS));
        return new EntryRunner(new EntryRunner.Parts(
                state::view,
                dispatchers,
                sender,
                targets,
                crashes,
                events,
                time,
                new RequestAuthorizer(headers.tenants(), freshness::isOld),
                allowances));
    }

    /** Starts to follow the store and to listen. Blocks until the daemon listens. */
    public void start() throws InterruptedException {
        loops.startFollower();
        server.start().join();
        PeerServer.listen(eventLoops, peers.listenAddress(), peers);
        EntrySettings initial = settings.current();
        LOG.infof(
                "event=started name=%s zone=%s calls=%s metrics=%s",
                initial.self().name(), initial.self().zone(), initial.callAddress(), initial.metricsAddress());
        loops.startOthers(initial.spillsBetweenZones());
    }

    /** Adopts those values of {@code next} that need no restart. Calls in flight are not affected. */
    public void reload(EntrySettings next) {
        EntrySettings applied = settings.apply(next);
        dispatchers.updateBudget(applied.extraCalls());
        dispatchers.setProbeLimit(applied.probesPerSecond());
    }

    /** Returns the active settings. */
    public EntrySettings settings() {
        return settings.current();
    }

    /**
     * Returns whether the daemon works as it should: it has a configuration, is not shutting down, and no background loop is stuck. A
     * daemon with a stuck loop still accepts callers, because the same input may have stopped all daemons.
     */
    public boolean isReady() {
        return acceptsCallers() && loopHealth.stuckLoops() == 0;
    }

    private boolean acceptsCallers() {
        return !shutdown.isLeaving() && state.view().configuration().isPresent();
    }

    /** Returns the addresses of daemons for a caller in {@code zone} of {@code region}; empty if no daemon accepts callers. */
    public ImmutableList<String> addressesFor(String region, String zone) {
        return addressSelector.addressesFor(region, zone, acceptsCallers());
    }

    /** Returns the current view of the configuration, the targets and the daemons. */
    public FleetView view() {
        return state.view();
    }

    /**
     * Shuts the daemon down. It accepts requests for a part of the grace period, while callers switch to other daemons, and then
     * refuses them. Requests that wait for a target are refused if they cannot be answered within the grace period. Returns when no
     * request is in flight and the connections are closed, or when the time for it is over.
     */
    public void shutDown() throws InterruptedException {
        long startNanos = time.nanos();
        LOG.infof("event=leaving in_flight=%d", shutdown.inFlight());
        ShutdownSchedule schedule = ShutdownSchedule.within(settings.current().grace());
        Deadline acceptBy = new Deadline(startNanos + schedule.acceptFor().toNanos());
        shutdown.leave(acceptBy);
        Thread.ofVirtual().name("leave").start(registrar::leave);
        runner.stopBy(new Deadline(startNanos + schedule.answerBy().toNanos()));
        Thread.sleep(acceptBy.remaining(time));
        shutdown.refuseRequests();
        Duration elapsed = Duration.ofNanos(time.nanos() - startNanos);
        boolean idle = shutdown.awaitIdle(schedule.exitBy().minus(elapsed));
        LOG.infof("event=stopped idle=%b in_flight=%d", idle, shutdown.inFlight());
        executor.shutdown();
        try {
            server.stop().get(CLOSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            LOG.infof("event=connections_left_open reason=\"%s\"", e.getClass().getSimpleName());
        }
    }

    /** Creates the service of a page once the daemon exists. */
    @FunctionalInterface
    public interface PageFactory {
        /** Returns the service of a page of {@code daemon}. */
        HttpService create(EntryDaemon daemon);
    }

    private record Page(InetSocketAddress address, String path, PageFactory factory) {
        private EntryServer.Page of(EntryDaemon daemon) {
            return new EntryServer.Page(address, path, factory.create(daemon));
        }
    }

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

        /** Sets the decoder of the items in the store. */
        public Builder decoder(FleetDecoder value) {
            decoder = value;
            return this;
        }

        /** Sets the names of the headers that callers and targets use. */
        public Builder headers(TargetHeaders value) {
            headers = value;
            return this;
        }

        /** Adds a page at {@code path}. The daemon listens on {@code address} to serve it. */
        public Builder page(InetSocketAddress address, String path, PageFactory factory) {
            pages.add(new Page(address, path, factory));
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
