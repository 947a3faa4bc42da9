package io.anvilpick.entry;

import com.google.common.base.Throwables;
import com.google.common.collect.HashMultimap;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.SetMultimap;
import io.anvilpick.config.ServiceConfig;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.dispatch.ColdTargetRules;
import io.anvilpick.dispatch.DispatchResult;
import io.anvilpick.dispatch.Dispatcher;
import io.anvilpick.dispatch.DispatcherBuilder;
import io.anvilpick.dispatch.TargetPolicy;
import io.anvilpick.dispatch.TargetTraits;
import io.anvilpick.fleet.EntryMember;
import io.anvilpick.fleet.FleetView;
import io.anvilpick.fleet.RegisteredTarget;
import io.anvilpick.limits.WindowBudget;
import io.anvilpick.routes.ColdStart;
import io.anvilpick.routes.Route;
import io.anvilpick.routes.RouteConfiguration;
import io.anvilpick.routes.RouteConfiguration.ServiceSettings;
import io.anvilpick.shard.Shards;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * The dispatchers of the configured services, in shards by service, with the registered targets. Thread safe.
 *
 * <p>Bound: the services that the configuration has contained within {@link #REMOVED_SERVICE_KEPT}. Removal: that time after a
 * version lacks the service. Nothing has to survive the process.
 *
 * <p>Each daemon spends an equal part of the allowance for extra calls, and applies the ratio to its own requests. All
 * daemons together thus keep to the shared budget without communicating.
 */
public final class EntryDispatchers {
    private static final int SHARDS = 16;

    /** The name of a daemon that is not among the members. */
    private static final String UNREGISTERED = "";

    /** Part of the ratio that is used. The rest covers requests that another daemon counted before it was restarted. */
    private static final double USED_RATIO_FRACTION = 0.85;

    /** Time for which the dispatcher of a removed service is kept. It is longer than any call may take. */
    static final Duration REMOVED_SERVICE_KEPT = Duration.ofMinutes(11);

    /** Number of daemons that may have joined undetected. They get a part of the allowance too. */
    private static final int UNDETECTED_DAEMONS = 2;

    private final Shards<Map<String, Row>> rows = Shards.create(SHARDS, HashMap::new);
    private final TimeSource time;
    private final Supplier<RandomGenerator> random;
    private final String zone;
    private final String name;
    private final boolean spillsBetweenZones;
    private volatile SharedBudget budget;
    private volatile double probeLimit = Double.POSITIVE_INFINITY;
    private volatile int daemons = 1;
    private volatile @Nullable Deadline end;

    /** The configuration for whose routes the dispatchers keep measurements. Accessed by {@link #update} only. */
    private @Nullable RouteConfiguration retained;

    /**
     * The dispatcher of one service and what was last applied to it.
     *
     * @param removableFrom when the dispatcher may be removed; empty while the service is configured
     * @param finished whether all of that was applied; false while an update runs and after one that failed
     */
    private record Row(
            Dispatcher dispatcher,
            WindowBudget budget,
            ImmutableList<RegisteredTarget> targets,
            ServiceConfig service,
            ColdStarts coldStarts,
            Optional<Deadline> removableFrom,
            boolean finished) {
        private Row unfinished() {
            return new Row(dispatcher, budget, targets, service, coldStarts, removableFrom, false);
        }
    }

    /** What determines the rules for cold targets, besides the targets. */
    private record ColdStarts(Optional<ColdStart> limit, ImmutableList<EntryMember> members) {}

    /** Creates an empty set of dispatchers for a daemon in {@code zone} that owns no cold targets. */
    public EntryDispatchers(TimeSource time, Supplier<RandomGenerator> random, SharedBudget budget, String zone) {
        this(time, random, budget, zone, UNREGISTERED);
    }

    /** Creates an empty set of dispatchers for the daemon {@code name} in {@code zone}, which places each call on its own. */
    public EntryDispatchers(
            TimeSource time, Supplier<RandomGenerator> random, SharedBudget budget, String zone, String name) {
        this(time, random, budget, zone, name, false);
    }

    /**
     * Creates an empty set of dispatchers for the daemon {@code name} in {@code zone}.
     *
     * @param spillsBetweenZones whether a share of the calls may leave the zone, see {@link Dispatcher#spill}
     */
    public EntryDispatchers(
            TimeSource time,
            Supplier<RandomGenerator> random,
            SharedBudget budget,
            String zone,
            String name,
            boolean spillsBetweenZones) {
        this.spillsBetweenZones = spillsBetweenZones;
        this.name = name;
        this.time = time;
        this.random = random;
        this.budget = budget;
        this.zone = zone;
    }

    /**
     * Applies the services, targets, evacuated zones and number of daemons in {@code view}. Calls in flight and the measurements of the
     * dispatchers are kept, and so are for a time the dispatchers of services that are no longer configured: calls may still wait in
     * them, so they follow the targets too. Has no effect if {@code view} has no configuration. Calls must not overlap.
     *
     * <p>An error in one service does not keep the others from being updated. It is thrown once all have been tried, and the next
     * call updates that service again.
     */
    public void update(FleetView view) {
        if (view.configuration().isEmpty()) {
            return;
        }
        daemons = Math.max(1, view.members().size());
        Set<String> names =
                new LinkedHashSet<>(view.configuration().get().services().keySet());
        rows.forEach(shard -> names.addAll(shard.keySet()));
        List<Throwable> errors = new ArrayList<>();
        for (String service : names) {
            try {
                update(service, view);
            } catch (RuntimeException | Error e) {
                errors.add(e);
            }
        }
        if (!errors.isEmpty()) {
            Throwable first = errors.removeFirst();
            errors.stream().filter(error -> error != first).forEach(first::addSuppressed);
            Throwables.throwIfUnchecked(first);
        }
        retainRequests(view.configuration().get());
    }

    /** Removes the measurements of routes that {@code configuration} does not send to a service. */
    private void retainRequests(RouteConfiguration configuration) {
        if (configuration == retained) {
            return;
        }
        SetMultimap<String, String> routes = HashMultimap.create();
        for (Route route : configuration.routes().all()) {
            route.backends().forEach(backend -> routes.put(backend.service(), route.name()));
        }
        configuration
                .services()
                .keySet()
                .forEach(service ->
                        find(service).ifPresent(dispatcher -> dispatcher.retainRequests(routes.get(service))));
        retained = configuration;
    }

    private void update(String service, FleetView view) {
        ServiceSettings settings = view.configuration().orElseThrow().services().get(service);
        rows.<@Nullable Void>withShardOf(service, shard -> {
            Row row = shard.computeIfAbsent(service, this::newRow);
            if (settings == null
                    && row.removableFrom().filter(each -> each.hasPassed(time)).isPresent()) {
                shard.remove(service);
                return null;
            }
            int connections = settings == null ? row.service().connectionsPerTarget() : settings.connectionsPerTarget();
            Optional<ColdStart> coldStart = settings == null ? row.coldStarts().limit() : settings.coldStart();
            shard.put(service, row.unfinished());
            shard.put(service, updated(row, connections, coldStart, view));
            return null;
        });
    }

    private Row updated(Row row, int connectionsPerTarget, Optional<ColdStart> coldStart, FleetView view) {
        ImmutableList<RegisteredTarget> targets =
                view.targets().getOrDefault(row.service().name(), ImmutableList.of());
        applyBudget(row.budget());
        ServiceConfig service = serviceOf(row.service().name(), connectionsPerTarget, targets);
        ColdStarts coldStarts = new ColdStarts(coldStart, coldStart.isPresent() ? view.members() : ImmutableList.of());
        row.dispatcher().setDaemonCount(daemons);
        row.dispatcher()
                .setHasTenants(view.configuration()
                        .map(each -> !each.tenants().isEmpty())
                        .orElse(false));
        if (!row.finished() || row.targets() != targets || !row.coldStarts().equals(coldStarts)) {
            row.dispatcher().setColdTargetRules(rulesOf(coldStarts, targets));
        }
        row.dispatcher().setEvacuatedZones(view.evacuatedZones());
        if (!row.finished() || row.targets() != targets || !row.service().equals(service)) {
            row.dispatcher().configure(service, traitsOf(targets));
        }
        return new Row(row.dispatcher(), row.budget(), targets, service, coldStarts, removableFrom(row, view), true);
    }

    private Optional<Deadline> removableFrom(Row row, FleetView view) {
        if (view.configuration()
                .orElseThrow()
                .services()
                .containsKey(row.service().name())) {
            return Optional.empty();
        }
        return row.removableFrom().or(() -> Optional.of(Deadline.after(time, REMOVED_SERVICE_KEPT)));
    }

    private Optional<ColdTargetRules> rulesOf(ColdStarts coldStarts, ImmutableList<RegisteredTarget> targets) {
        return coldStarts
                .limit()
                .map(limit -> new ColdTargetRules(
                        limit.requestsPerSecond(),
                        limit.warmUp(),
                        new ColdOwners(coldStarts.members()).ownedBy(name, targets)));
    }

    /** Replaces the shared budget. Extra calls already counted stay counted, and the window is not changed. */
    public void updateBudget(SharedBudget next) {
        budget = next;
        rows.forEach(shard -> shard.values().forEach(row -> applyBudget(row.budget())));
    }

    /** Limits the probes that a target receives a second, as {@link Dispatcher#setProbeLimit} does, from now on. */
    public void setProbeLimit(double perTargetAndSecond) {
        probeLimit = perTargetAndSecond;
        all().values().forEach(dispatcher -> dispatcher.setProbeLimit(perTargetAndSecond));
    }

    /** Calls {@link Dispatcher#stopBy} for each dispatcher, and for those created later, and returns what left their queues. */
    public ImmutableList<DispatchResult> stopBy(Deadline value) {
        end = value;
        ImmutableList.Builder<DispatchResult> results = ImmutableList.builder();
        all().values().forEach(dispatcher -> results.add(dispatcher.stopBy(value)));
        return results.build();
    }

    private void applyBudget(WindowBudget own) {
        SharedBudget shared = budget;
        own.setLimits(shared.ratio() * USED_RATIO_FRACTION, shared.allowance() / (daemons + UNDETECTED_DAEMONS));
    }

    /** Returns the dispatcher of {@code service}, or empty if the service is not configured and was not lately. */
    public Optional<Dispatcher> find(String service) {
        return rows.withShardOf(
                service, shard -> Optional.ofNullable(shard.get(service)).map(Row::dispatcher));
    }

    /** Returns all dispatchers by service name, including those of services removed lately. */
    public Map<String, Dispatcher> all() {
        Map<String, Dispatcher> all = new HashMap<>();
        rows.forEach(shard -> shard.forEach((name, row) -> all.put(name, row.dispatcher())));
        return all;
    }

    private Row newRow(String service) {
        WindowBudget own = WindowBudget.of(time, 0, 0, budget.window());
        DispatcherBuilder builder = Dispatcher.builder()
                .time(time)
                .random(random.get())
                .policy(new TargetPolicy.EarliestAnswer(zone))
                .extraCalls(own);
        if (spillsBetweenZones) {
            builder.spillAs(name);
        }
        Dispatcher dispatcher = builder.build();
        dispatcher.setProbeLimit(probeLimit);
        Deadline stop = end;
        if (stop != null) {
            dispatcher.stopBy(stop);
        }
        ServiceConfig unconfigured = serviceOf(service, 1, ImmutableList.of());
        ColdStarts unlimited = new ColdStarts(Optional.empty(), ImmutableList.of());
        return new Row(dispatcher, own, ImmutableList.of(), unconfigured, unlimited, Optional.empty(), true);
    }

    private static ServiceConfig serviceOf(String name, int connections, ImmutableList<RegisteredTarget> targets) {
        int slots = 1;
        ImmutableList.Builder<TargetConfig> configs = ImmutableList.builder();
        for (RegisteredTarget target : targets) {
            slots = Math.max(slots, target.traits().slots());
            configs.add(target.config());
        }
        return ServiceConfig.builder(name)
                .slotsPerTarget(slots)
                .connectionsPerTarget(connections)
                .requests(ImmutableList.of())
                .targets(configs.build())
                .build();
    }

    private static ImmutableMap<String, TargetTraits> traitsOf(ImmutableList<RegisteredTarget> targets) {
        ImmutableMap.Builder<String, TargetTraits> traits = ImmutableMap.builder();
        targets.forEach(target -> traits.put(target.id(), target.traits()));
        return traits.buildOrThrow();
    }
}
