package io.anvilpick.routes;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableMap;
import io.anvilpick.tenants.TenantTable;
import java.util.Optional;

/**
 * The configuration of routes and services, which takes effect as a whole.
 *
 * @param version version, which increases with each configuration
 * @param routes the routes
 * @param services services by name
 * @param limits limits on the requests of callers
 * @param tenants the tenants; if there are any, requests need an API key
 */
public record RouteConfiguration(
        long version,
        RouteTable routes,
        ImmutableMap<String, ServiceSettings> services,
        RequestLimits limits,
        TenantTable tenants) {
    public RouteConfiguration {
        for (String service : routes.services()) {
            checkArgument(services.containsKey(service), "a route refers to service %s, which is not listed", service);
        }
    }

    /** Creates a configuration without tenants. */
    public RouteConfiguration(
            long version, RouteTable routes, ImmutableMap<String, ServiceSettings> services, RequestLimits limits) {
        this(version, routes, services, limits, TenantTable.none());
    }

    /**
     * The settings of a service, apart from its targets.
     *
     * @param healthPath path at which a target reports its health and load; empty if it reports them in answers only
     * @param connectionsPerTarget maximum number of connections from all daemons to one target
     * @param coldStart what a cold target bears; empty if that is not limited
     */
    public record ServiceSettings(
            Optional<String> healthPath, int connectionsPerTarget, Optional<ColdStart> coldStart) {
        public ServiceSettings {
            healthPath.ifPresent(
                    path -> checkArgument(path.startsWith("/"), "healthPath must begin with a slash: %s", path));
            checkArgument(connectionsPerTarget > 0, "connectionsPerTarget must be positive: %s", connectionsPerTarget);
        }

        /** Creates the settings of a service with a health path. */
        public ServiceSettings(String healthPath, int connectionsPerTarget) {
            this(Optional.of(healthPath), connectionsPerTarget);
        }

        /** Creates the settings of a service whose cold targets are not limited. */
        public ServiceSettings(Optional<String> healthPath, int connectionsPerTarget) {
            this(healthPath, connectionsPerTarget, Optional.empty());
        }
    }
}
