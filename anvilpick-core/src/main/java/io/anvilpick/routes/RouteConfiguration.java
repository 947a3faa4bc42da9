package io.anvilpick.routes;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableMap;

/**
 * All that the operators put in force as one.
 *
 * @param version rises with each configuration
 * @param routes the routes
 * @param services services by name
 * @param limits what callers may send
 */
public record RouteConfiguration(
        long version, RouteTable routes, ImmutableMap<String, ServiceSettings> services, RequestLimits limits) {
    public RouteConfiguration {
        for (String service : routes.services()) {
            checkArgument(services.containsKey(service), "a route leads to service %s, which is not listed", service);
        }
    }

    /**
     * What is configured of a service apart from its targets.
     *
     * @param healthPath path at which a target tells its health and load
     * @param connectionsPerTarget connections that a target takes from all daemons together
     */
    public record ServiceSettings(String healthPath, int connectionsPerTarget) {
        public ServiceSettings {
            checkArgument(healthPath.startsWith("/"), "healthPath must begin with a slash: %s", healthPath);
            checkArgument(connectionsPerTarget > 0, "connectionsPerTarget must be positive: %s", connectionsPerTarget);
        }
    }
}
