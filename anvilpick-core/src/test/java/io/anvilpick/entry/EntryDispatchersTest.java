package io.anvilpick.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.anvilpick.dispatch.Dispatcher;
import io.anvilpick.fleet.FleetChange;
import io.anvilpick.fleet.FleetSamples;
import io.anvilpick.fleet.FleetState;
import io.anvilpick.routes.RequestLimits;
import io.anvilpick.routes.RouteConfiguration;
import io.anvilpick.routes.RouteTable;
import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class EntryDispatchersTest {
    private final ManualTimeSource time = ManualTimeSource.startingAt(0);
    private final EntryDispatchers dispatchers = new EntryDispatchers(
            time, () -> new SplittableRandom(3), new SharedBudget(0.2, 100, Duration.ofSeconds(10)), "z");
    private final FleetState state = new FleetState(time, dispatchers::update);

    /** Guards against calls that wait for a service which was removed, and reach a target that drains since. */
    @Test
    void dispatcherOfARemovedServiceFollowsItsTargets() {
        state.apply(List.of(
                new FleetChange.ConfigurationWritten(FleetSamples.configuration(1)),
                new FleetChange.TargetRegistered(FleetSamples.target("a", "s", false)),
                new FleetChange.TargetRegistered(FleetSamples.target("b", "s", false))));
        Dispatcher dispatcher = dispatchers.find("s").orElseThrow();
        RouteConfiguration without = new RouteConfiguration(
                2, RouteTable.of(ImmutableList.of()), ImmutableMap.of(), new RequestLimits(1_000));
        state.apply(List.of(new FleetChange.ConfigurationWritten(without)));
        state.apply(List.of(new FleetChange.TargetRegistered(FleetSamples.target("a", "s", true))));
        assertEquals(
                List.of("b"),
                dispatcher.targets().stream().map(target -> target.id()).toList());
    }

    /** Guards against a heap that fills with the dispatchers of services that each release renames. */
    @Test
    void dispatcherOfARemovedServiceIsRemovedOnceNoCallCanUseIt() {
        state.apply(List.of(new FleetChange.ConfigurationWritten(FleetSamples.configuration(1))));
        state.apply(List.of(new FleetChange.ConfigurationWritten(withServices(2, "renamed"))));
        time.advance(EntryDispatchers.REMOVED_SERVICE_KEPT.minusNanos(1));
        state.apply(List.of(new FleetChange.TargetRegistered(FleetSamples.target("a", "s", false))));
        assertEquals(Set.of("s", "renamed"), dispatchers.all().keySet());
        time.advance(Duration.ofNanos(1));
        state.apply(List.of(new FleetChange.TargetRegistered(FleetSamples.target("b", "s", false))));
        assertEquals(Set.of("renamed"), dispatchers.all().keySet());
        state.apply(List.of(new FleetChange.ConfigurationWritten(FleetSamples.configuration(3))));
        assertEquals(2, dispatchers.find("s").orElseThrow().targets().size());
    }

    /** Guards against services that get no new targets because the update of another one failed. */
    @Test
    void errorInOneServiceDoesNotKeepTheOthersFromBeingUpdated() {
        AtomicInteger created = new AtomicInteger();
        EntryDispatchers failing = new EntryDispatchers(
                time,
                () -> {
                    if (created.incrementAndGet() == 1) {
                        throw new StackOverflowError();
                    }
                    return new SplittableRandom(3);
                },
                new SharedBudget(0.2, 100, Duration.ofSeconds(10)),
                "z");
        FleetState updated = new FleetState(time, failing::update);
        List<FleetChange> changes = List.of(
                new FleetChange.ConfigurationWritten(withServices(1, "s", "t", "u")),
                new FleetChange.TargetRegistered(FleetSamples.target("a", "s", false)),
                new FleetChange.TargetRegistered(FleetSamples.target("b", "t", false)),
                new FleetChange.TargetRegistered(FleetSamples.target("c", "u", false)));
        assertThrows(StackOverflowError.class, () -> updated.apply(changes));
        assertEquals(2, failing.all().size());
        updated.expire();
        assertEquals(Set.of("s", "t", "u"), failing.all().keySet());
        failing.all()
                .values()
                .forEach(dispatcher -> assertEquals(1, dispatcher.targets().size()));
    }

    private static RouteConfiguration withServices(long version, String... names) {
        ImmutableMap.Builder<String, RouteConfiguration.ServiceSettings> services = ImmutableMap.builder();
        for (String name : names) {
            services.put(name, new RouteConfiguration.ServiceSettings("/healthz", 100));
        }
        return new RouteConfiguration(
                version, RouteTable.of(ImmutableList.of()), services.buildOrThrow(), new RequestLimits(1_000));
    }
}
