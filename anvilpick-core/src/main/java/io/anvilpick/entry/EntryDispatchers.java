package io.anvilpick.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.anvilpick.config.ServiceConfig;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.dispatch.Dispatcher;
import io.anvilpick.dispatch.TargetPolicy;
import io.anvilpick.dispatch.TargetTraits;
import io.anvilpick.fleet.FleetView;
import io.anvilpick.fleet.RegisteredTarget;
import io.anvilpick.limits.WindowBudget;
import io.anvilpick.routes.RouteConfiguration;
import io.anvilpick.shard.Shards;
import io.anvilpick.time.TimeSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * The dispatchers of the configured services, in shards by service, with the targets that have registered. Thread safe.
 *
 * <p>Each daemon spends an equal part of the allowance for repeated calls, and the ratio of its own requests; so all together
 * keep to both without telling each other.
 */
public final class EntryDispatchers {
    private static final int SHARDS = 16;

    /** Part of the ratio that is used; the rest covers requests that another daemon counted before it was restarted. */
    private static final double USED_PART = 0.85;

    /** Daemons that may join without being known yet. */
    private static final int UNKNOWN_DAEMONS = 2;

    private final Shards<Map<String, Row>> rows = Shards.create(SHARDS, HashMap::new);
    private final TimeSource time;
    private final Supplier<RandomGenerator> random;
    private final String zone;
    private volatile SharedBudget budget;
    private volatile int daemons = 1;

    private record Row(
            Dispatcher dispatcher,
            WindowBudget budget,
            ImmutableList<RegisteredTarget> targets,
            ServiceConfig service) {}

    /** Creates an empty table of dispatchers for a daemon in {@code zone}. */
    public EntryDispatchers(TimeSource time, Supplier<RandomGenerator> random, SharedBudget budget, String zone) {
        this.time = time;
        this.random = random;
        this.budget = budget;
        this.zone = zone;
    }

    /** Puts the targets of {@code view} in force; calls in flight and what was learnt stay. */
    public void update(FleetView view) {
        if (view.configuration().isEmpty()) {
            return;
        }
        RouteConfiguration configuration = view.configuration().get();
        daemons = Math.max(1, view.members().size());
        configuration.services().forEach((name, traits) -> {
            ImmutableList<RegisteredTarget> targets = view.targets().getOrDefault(name, ImmutableList.of());
            rows.withShardOf(name, shard -> {
                Row row = shard.getOrDefault(name, newRow(name));
                allow(row.budget());
                ServiceConfig service = serviceOf(name, traits.connectionsPerTarget(), targets);
                if (row.targets() != targets || !row.service().equals(service)) {
                    row.dispatcher().configure(service, traitsOf(targets));
                }
                row.dispatcher().setDaemonCount(daemons);
                return shard.put(name, new Row(row.dispatcher(), row.budget(), targets, service));
            });
        });
    }

    /** Changes what all daemons together may spend; what was spent stays counted, and the window stays as it is. */
    public void updateBudget(SharedBudget next) {
        budget = next;
        rows.forEach(shard -> shard.values().forEach(row -> allow(row.budget())));
    }

    private void allow(WindowBudget own) {
        SharedBudget all = budget;
        own.setLimits(all.ratio() * USED_PART, all.allowance() / (daemons + UNKNOWN_DAEMONS));
    }

    /** Returns the dispatcher of a configured service. */
    public Optional<Dispatcher> find(String service) {
        return rows.withShardOf(
                service, shard -> Optional.ofNullable(shard.get(service)).map(Row::dispatcher));
    }

    /** Returns the dispatchers by service. */
    public Map<String, Dispatcher> all() {
        Map<String, Dispatcher> all = new HashMap<>();
        rows.forEach(shard -> shard.forEach((name, row) -> all.put(name, row.dispatcher())));
        return all;
    }

    private Row newRow(String name) {
        WindowBudget own = WindowBudget.of(time, 0, 0, budget.window());
        Dispatcher dispatcher = Dispatcher.builder()
                .time(time)
                .random(random.get())
                .policy(new TargetPolicy.EarliestAnswer(zone))
                .extraCalls(own)
                .build();
        ServiceConfig none = serviceOf(name, 1, ImmutableList.of());
        return new Row(dispatcher, own, ImmutableList.of(), none);
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
