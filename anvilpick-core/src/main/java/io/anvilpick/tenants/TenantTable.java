package io.anvilpick.tenants;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The tenants of a configuration, by name and by API key. Immutable. Its text form contains no keys. */
public final class TenantTable {
    private static final TenantTable NONE = builder().build();

    private final ImmutableMap<Credential, Tenant> byKey;
    private final ImmutableMap<String, Tenant> byName;

    private TenantTable(ImmutableMap<Credential, Tenant> byKey, ImmutableMap<String, Tenant> byName) {
        this.byKey = byKey;
        this.byName = byName;
    }

    /** Returns a table without tenants, by which requests need no key. */
    public static TenantTable none() {
        return NONE;
    }

    /** Returns a new builder. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns whether there are no tenants. Requests then need no key. */
    public boolean isEmpty() {
        return byName.isEmpty();
    }

    /** Returns the tenant that holds {@code credential}; empty if none does. */
    public Optional<Tenant> find(Credential credential) {
        return Optional.ofNullable(byKey.get(credential));
    }

    /** Returns the tenant called {@code name}; empty if there is none. */
    public Optional<Tenant> named(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    /** Returns all tenants. */
    public ImmutableList<Tenant> all() {
        return byName.values().asList();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof TenantTable table && byKey.equals(table.byKey) && byName.equals(table.byName);
    }

    @Override
    public int hashCode() {
        return 31 * byKey.hashCode() + byName.hashCode();
    }

    @Override
    public String toString() {
        return "TenantTable[tenants=" + byName.size() + ", keys=" + byKey.size() + "]";
    }

    /** Builds a {@link TenantTable}. Not thread safe. */
    public static final class Builder {
        private final Map<Credential, Tenant> byKey = new HashMap<>();
        private final ImmutableMap.Builder<String, Tenant> byName = ImmutableMap.builder();
        private final Set<String> names = new HashSet<>();

        private Builder() {}

        /**
         * Adds a tenant and the keys that it holds.
         *
         * @throws IllegalArgumentException if another tenant has the same name or holds one of the keys
         */
        @CanIgnoreReturnValue
        public Builder add(Tenant tenant, ImmutableSet<Credential> keys) {
            checkArgument(names.add(tenant.name()), "two tenants are called %s", tenant.name());
            for (Credential key : keys) {
                Tenant holder = byKey.putIfAbsent(key, tenant);
                checkArgument(holder == null, "tenant %s holds a key of another tenant", tenant.name());
            }
            byName.put(tenant.name(), tenant);
            return this;
        }

        /** Returns the table. */
        public TenantTable build() {
            return new TenantTable(ImmutableMap.copyOf(byKey), byName.buildOrThrow());
        }
    }
}
