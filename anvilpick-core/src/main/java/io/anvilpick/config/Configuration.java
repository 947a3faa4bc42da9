package io.anvilpick.config;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import java.util.Optional;

/**
 * Everything that operators accept as one version: the contract, the tenants and the services.
 *
 * @param contract contract under which the services are run
 * @param tenants tenants that share the services
 * @param services services by name
 */
public record Configuration(
        Contract contract, ImmutableList<TenantConfig> tenants, ImmutableSortedMap<String, ServiceConfig> services) {
    private static final int DEFAULT_WEIGHT = 1;

    /** Returns the service named {@code name}, if any. */
    public Optional<ServiceConfig> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns the weight of {@code tenant}, or one if the tenant is not listed. */
    public int weightOf(String tenant) {
        for (TenantConfig candidate : tenants) {
            if (candidate.name().equals(tenant)) {
                return candidate.weight();
            }
        }
        return DEFAULT_WEIGHT;
    }
}
