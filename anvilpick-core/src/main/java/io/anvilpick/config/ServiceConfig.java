package io.anvilpick.config;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * A service with its targets, request classes and limits.
 *
 * @param name name that is unique in the configuration
 * @param slotsPerTarget maximum number of calls that a target processes at a time
 * @param connectionsPerTarget maximum number of connections to a target, from all daemons together
 * @param measuringPerMille share of slot time, in thousandths, that measurements may use
 * @param homes number of daemons in a region that callers of the service are sent to
 * @param keyMemoryMillis milliseconds for which an idempotency key is remembered
 * @param requests request classes, of which the first that matches applies
 * @param targets targets that answer calls of the service
 */
public record ServiceConfig(
        String name,
        int slotsPerTarget,
        int connectionsPerTarget,
        int measuringPerMille,
        int homes,
        long keyMemoryMillis,
        ImmutableList<RequestConfig> requests,
        ImmutableList<TargetConfig> targets) {
    public ServiceConfig {
        checkArgument(!name.isEmpty(), "name must not be empty");
        checkArgument(slotsPerTarget > 0, "slotsPerTarget must be positive: %s", slotsPerTarget);
        checkArgument(connectionsPerTarget > 0, "connectionsPerTarget must be positive: %s", connectionsPerTarget);
        checkArgument(measuringPerMille >= 0, "measuringPerMille must not be negative: %s", measuringPerMille);
        checkArgument(homes > 0, "homes must be positive: %s", homes);
        checkArgument(keyMemoryMillis > 0, "keyMemoryMillis must be positive: %s", keyMemoryMillis);
    }

    /** Returns the first request class that matches, in O(classes). */
    public Optional<RequestConfig> requestFor(String method, String path) {
        for (RequestConfig request : requests) {
            if (request.matches(method, path)) {
                return Optional.of(request);
            }
        }
        return Optional.empty();
    }

    /** Returns a builder for a service named {@code name}. */
    public static Builder builder(String name) {
        return new Builder(name);
    }

    /** Returns a builder initialized with the values of this service. */
    public Builder toBuilder() {
        return new Builder(name)
                .slotsPerTarget(slotsPerTarget)
                .connectionsPerTarget(connectionsPerTarget)
                .measuringPerMille(measuringPerMille)
                .homes(homes)
                .keyMemoryMillis(keyMemoryMillis)
                .requests(requests)
                .targets(targets);
    }

    /** Builds a {@link ServiceConfig}. Not thread safe. */
    public static final class Builder {
        private static final int DEFAULT_SLOTS = 4;
        private static final int DEFAULT_CONNECTIONS = 220;
        private static final int DEFAULT_MEASURING_PER_MILLE = 10;
        private static final long DEFAULT_KEY_MEMORY_MILLIS = 86_400_000L;

        private final String name;
        private int slotsPerTarget = DEFAULT_SLOTS;
        private int connectionsPerTarget = DEFAULT_CONNECTIONS;
        private int measuringPerMille = DEFAULT_MEASURING_PER_MILLE;
        private int homes = 1;
        private long keyMemoryMillis = DEFAULT_KEY_MEMORY_MILLIS;
        private @Nullable List<RequestConfig> requests;
        private @Nullable List<TargetConfig> targets;

        private Builder(String name) {
            this.name = name;
        }

        /** Sets the maximum number of calls that a target processes at a time. */
        public Builder slotsPerTarget(int value) {
            slotsPerTarget = value;
            return this;
        }

        /** Sets the maximum number of connections to a target, from all daemons together. */
        public Builder connectionsPerTarget(int value) {
            connectionsPerTarget = value;
            return this;
        }

        /** Sets the share of slot time, in thousandths, that measurements may use. */
        public Builder measuringPerMille(int value) {
            measuringPerMille = value;
            return this;
        }

        /** Sets the number of daemons in a region that callers are sent to. */
        public Builder homes(int value) {
            homes = value;
            return this;
        }

        /** Sets the milliseconds for which an idempotency key is remembered. */
        public Builder keyMemoryMillis(long value) {
            keyMemoryMillis = value;
            return this;
        }

        /** Sets the request classes, of which the first that matches applies. */
        public Builder requests(List<RequestConfig> value) {
            requests = value;
            return this;
        }

        /** Sets the targets. */
        public Builder targets(List<TargetConfig> value) {
            targets = value;
            return this;
        }

        /**
         * Returns the service.
         *
         * @throws NullPointerException if requests or targets were not set
         * @throws IllegalArgumentException if the name is empty or a limit is out of range
         */
        public ServiceConfig build() {
            return new ServiceConfig(
                    name,
                    slotsPerTarget,
                    connectionsPerTarget,
                    measuringPerMille,
                    homes,
                    keyMemoryMillis,
                    ImmutableList.copyOf(checkNotNull(requests, "requests")),
                    ImmutableList.copyOf(checkNotNull(targets, "targets")));
        }
    }
}
