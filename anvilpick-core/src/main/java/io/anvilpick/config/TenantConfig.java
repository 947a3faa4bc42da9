package io.anvilpick.config;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A tenant that shares the services with other tenants.
 *
 * @param name name that callers send in a header
 * @param weight share of a service's slots, relative to other tenants, when calls wait
 */
public record TenantConfig(String name, int weight) {
    public TenantConfig {
        checkArgument(!name.isEmpty(), "name must not be empty");
        checkArgument(weight > 0, "weight must be positive: %s", weight);
    }
}
