package io.anvilpick.routes;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableMap;
import java.util.Optional;

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
     * @param healthPath path at which a target reports its health and load; empty if it reports them in answers only
     * @param connectionsPerTarget maximum number of connections from all daemons to one target
     */
    public record ServiceSettings(Optional<String> healthPath, int connectionsPerTarget) {
        public ServiceSettings {
            healthPath.ifPresent(
                    path -> checkArgument(path.startsWith("/"), "healthPath must begin with a slash: %s", path));
            checkArgument(connectionsPerTarget > 0, "connectionsPerTarget must be positive: %s", connectionsPerTarget);
        }

        /** Creates the settings of a service with a health path. */
        public ServiceSettings(String healthPath, int connectionsPerTarget) {
            this(Optional.of(healthPath), connectionsPerTarget);
        }
    }
}
