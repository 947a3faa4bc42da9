package io.anvilpick.tenants;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Optional;

/**
 * A tenant.
 *
 * @param name name, unique in the configuration
 * @param priority priority of its requests, which goes before that of their routes; lower numbers come first
 * @param allowance the requests that it may send; empty if they are not limited
 */
public record Tenant(String name, int priority, Optional<Allowance> allowance) {
    public Tenant {
        checkArgument(!name.isEmpty(), "name must not be empty");
    }
}
