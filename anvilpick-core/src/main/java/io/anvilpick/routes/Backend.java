package io.anvilpick.routes;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A service that receives requests of a route.
 *
 * @param service name of the service
 * @param weight share of the requests, relative to the other back ends of the route
 */
public record Backend(String service, double weight) {
    public Backend {
        checkArgument(!service.isEmpty(), "service must not be empty");
        checkArgument(weight >= 0 && Double.isFinite(weight), "weight must not be negative: %s", weight);
    }
}
