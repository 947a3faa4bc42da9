package io.anvilpick.routes;

import com.google.common.collect.ImmutableSet;
import io.anvilpick.shard.Shards;
import java.util.HashMap;
import java.util.Map;

/**
 * Distributes the requests of a route over its services by smooth weighted round robin. Thread safe, in shards by route.
 *
 * <p>Counted from the first request with the present weights, each service receives less than one request more than its
 * share. A service of a route with many services may lag behind its share by more than one request.
 *
 * <p>Bound: one entry for each route with several services that is in force. Removal: see {@link #retain}. Nothing has to survive
 * the process.
 */
public final class WeightedRoundRobin {
    private static final int SHARDS = 16;

    private final Shards<Map<String, Rotation>> rotations = Shards.create(SHARDS, HashMap::new);

    /** The state of a route: the credit of each service. The credits add up to zero. */
    private record Rotation(Route route, double[] credit) {}

    /** Returns the service for the next request of {@code route}, in O(services of the route). */
    public String next(Route route) {
        if (route.backends().size() == 1) {
            return route.backends().getFirst().service();
        }
        return rotations.withShardOf(route.name(), shard -> {
            Rotation rotation = shard.get(route.name());
            if (rotation == null || !rotation.route().backends().equals(route.backends())) {
                rotation = new Rotation(route, new double[route.backends().size()]);
                shard.put(route.name(), rotation);
            }
            return advance(rotation);
        });
    }

    /** Removes the state of routes that {@code inForce} lacks. */
    public void retain(RouteTable inForce) {
        ImmutableSet<String> names = inForce.all().stream().map(Route::name).collect(ImmutableSet.toImmutableSet());
        rotations.forEach(shard -> shard.keySet().retainAll(names));
    }

    private static String advance(Rotation rotation) {
        double total = 0;
        int next = 0;
        for (int i = 0; i < rotation.credit().length; i++) {
            double weight = rotation.route().backends().get(i).weight();
            total += weight;
            rotation.credit()[i] += weight;
            if (rotation.credit()[i] > rotation.credit()[next]) {
                next = i;
            }
        }
        rotation.credit()[next] -= total;
        return rotation.route().backends().get(next).service();
    }
}
