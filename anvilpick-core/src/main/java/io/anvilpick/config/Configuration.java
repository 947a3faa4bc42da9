package io.anvilpick.config;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import java.util.Optional;

/**
 * All that operators accept as one: the contract, the tenants and the services.
 *
 * @param contract who runs the services
 * @param tenants customers that share them
 * @param services services by name
 */
public record Configuration(
        Contract contract, ImmutableList<TenantConfig> tenants, ImmutableSortedMap<String, ServiceConfig> services) {
    private static final int DEFAULT_WEIGHT = 1;

    /** Returns the service called {@code name}, if any. */
    public Optional<ServiceConfig> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns the weight of {@code tenant}; one for a tenant that is not listed. */
    public int weightOf(String tenant) {
        for (TenantConfig candidate : tenants) {
            if (candidate.name().equals(tenant)) {
                return candidate.weight();
            }
        }
        return DEFAULT_WEIGHT;
    }
}
