package io.anvilpick.fleet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.dispatch.TargetTraits;
import io.anvilpick.routes.Backend;
import io.anvilpick.routes.RequestLimits;
import io.anvilpick.routes.RetrySafety;
import io.anvilpick.routes.Route;
import io.anvilpick.routes.RouteConfiguration;
import io.anvilpick.routes.RouteTable;
import io.anvilpick.time.Deadline;
import java.util.List;

/** Sample data for tests of the fleet. */
public final class FleetSamples {
    private FleetSamples() {}

    /** Returns a target of {@code service} in zone "z". */
    public static RegisteredTarget target(String id, String service, boolean leaving) {
        return new RegisteredTarget(
                new TargetConfig(id, "10.0.0.1", 1_000 + Math.floorMod(id.hashCode(), 10_000), "z", leaving),
                service,
                new TargetTraits(2, new Deadline(0)));
    }

    /** Returns a configuration with an idempotent route "/read/" and an at-most-once route "/pay/", both to service "s". */
    public static RouteConfiguration configuration(long version) {
        ImmutableList<Backend> backends = ImmutableList.of(new Backend("s", 1));
        return new RouteConfiguration(
                version,
                RouteTable.of(List.of(
                        new Route(
                                "read",
                                "a.example",
                                "/read/",
                                new RetrySafety.Idempotent(),
                                2_000,
                                600,
                                1,
                                2,
                                backends),
                        new Route(
                                "pay",
                                "a.example",
                                "/pay/",
                                new RetrySafety.AtMostOncePerAttempt(),
                                2_000,
                                600,
                                1,
                                2,
                                backends))),
                ImmutableMap.of("s", new RouteConfiguration.ServiceSettings("/healthz", 100)),
                new RequestLimits(1_000));
    }

    /** Returns a revision of a store that states no era. */
    public static StoreRevision revision(long number) {
        return new StoreRevision(0, number);
    }

    /** Returns a daemon in {@code zone} of region "r". */
    public static EntryMember member(String name, String zone) {
        return new EntryMember(name, name + ":80", name + ":81", "r", zone);
    }
}
