package io.anvilpick.routes;

import io.anvilpick.shard.Shards;
import java.util.HashMap;
import java.util.Map;

/**
 * Shares requests of a route out among its services by weight. Thread safe, in shards by route.
 *
 * <p>Smooth weighted turns: among any requests in a row, each service gets its share to within one request.
 */
public final class WeightedRoundRobin {
    private static final int SHARDS = 16;

    private final Shards<Map<String, Turn>> turns = Shards.create(SHARDS, HashMap::new);

    /** The credit of each service of a route, which adds up to zero. */
    private record Turn(Route route, double[] credit) {}

    /** Returns the service that the next request of {@code route} goes to, in O(services of the route). */
    public String next(Route route) {
        if (route.backends().size() == 1) {
            return route.backends().getFirst().service();
        }
        return turns.withShardOf(route.name(), shard -> {
            Turn turn = shard.get(route.name());
            if (turn == null || !turn.route().backends().equals(route.backends())) {
                turn = new Turn(route, new double[route.backends().size()]);
                shard.put(route.name(), turn);
            }
            return take(turn);
        });
    }

    private static String take(Turn turn) {
        double total = 0;
        int next = 0;
        for (int i = 0; i < turn.credit().length; i++) {
            double weight = turn.route().backends().get(i).weight();
            total += weight;
            turn.credit()[i] += weight;
            if (turn.credit()[i] > turn.credit()[next]) {
                next = i;
            }
        }
        turn.credit()[next] -= total;
        return turn.route().backends().get(next).service();
    }
}
