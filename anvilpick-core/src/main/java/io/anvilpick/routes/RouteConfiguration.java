package io.anvilpick.routes;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableMap;

/**
 * The configuration of routes and services, which takes effect as a whole.
 *
 * @param version version, which increases with each configuration
 * @param routes the routes
 * @param services services by name
 * @param limits limits on the requests of callers
 */
public record RouteConfiguration(
        long version, RouteTable routes, ImmutableMap<String, ServiceSettings> services, RequestLimits limits) {
    public RouteConfiguration {
        for (String service : routes.services()) {
            checkArgument(services.containsKey(service), "a route refers to service %s, which is not listed", service);
        }
    }

    /**
     * The settings of a service, apart from its targets.
     *
     * @param healthPath path at which a target reports its health and load
     * @param connectionsPerTarget maximum number of connections from all daemons to one target
     */
    public record ServiceSettings(String healthPath, int connectionsPerTarget) {
        public ServiceSettings {
            checkArgument(healthPath.startsWith("/"), "healthPath must begin with a slash: %s", healthPath);
            checkArgument(connectionsPerTarget > 0, "connectionsPerTarget must be positive: %s", connectionsPerTarget);
        }
    }
}
