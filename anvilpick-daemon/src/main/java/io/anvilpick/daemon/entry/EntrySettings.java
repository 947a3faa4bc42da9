package io.anvilpick.daemon.entry;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import io.anvilpick.allowances.AllowanceBounds;
import io.anvilpick.entry.SharedBudget;
import io.anvilpick.fleet.EntryMember;
import io.anvilpick.fleet.WatchTimes;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Settings of an entry daemon.
 *
 * @param self the name, addresses and place under which the daemon registers; a change needs a restart
 * @param callAddress the address to listen on for callers; a change needs a restart
 * @param metricsAddress the address to listen on for metrics scrapers; a change needs a restart
 * @param extraCalls the budget for extra calls (retries and hedges) that all daemons share; a change of its window
 *     needs a restart
 * @param grace time from the stop signal until the process is killed
 * @param addressesGoodFor time for which callers may cache an answer of the directory
 * @param watchTimes how long the daemon waits for changes of the store; a change needs a restart
 * @param allowanceBounds how far tenants may exceed their allowances; a change needs a restart
 * @param probesPerSecond maximum number of load probes that a target receives a second from all daemons together; infinite if there is
 *     no limit
 * @param spillsBetweenZones whether a share of the calls may leave the zone when its targets have too little room; a change needs a
 *     restart
 * @param bootstrap whether the whole system starts for the first time; read at the start only
 */
public record EntrySettings(
        EntryMember self,
        InetSocketAddress callAddress,
        InetSocketAddress metricsAddress,
        SharedBudget extraCalls,
        Duration grace,
        Duration addressesGoodFor,
        WatchTimes watchTimes,
        AllowanceBounds allowanceBounds,
        double probesPerSecond,
        boolean spillsBetweenZones,
        boolean bootstrap) {
    public EntrySettings {
        checkArgument(grace.isPositive(), "grace must be positive: %s", grace);
        checkArgument(addressesGoodFor.isPositive(), "addressesGoodFor must be positive: %s", addressesGoodFor);
        checkArgument(probesPerSecond > 0, "probesPerSecond must be positive: %s", probesPerSecond);
    }

    /** Returns a builder of the settings of the daemon that registers as {@code self}. */
    public static Builder builder(EntryMember self) {
        return new Builder(self);
    }

    /** Returns these settings with those values of {@code next} that a running daemon can adopt without a restart. */
    public EntrySettings reloaded(EntrySettings next) {
        SharedBudget budget =
                new SharedBudget(next.extraCalls.ratio(), next.extraCalls.allowance(), extraCalls.window());
        return new EntrySettings(
                self,
                callAddress,
                metricsAddress,
                budget,
                next.grace,
                next.addressesGoodFor,
                watchTimes,
                allowanceBounds,
                next.probesPerSecond,
                spillsBetweenZones,
                bootstrap);
    }

    /** Returns the names of the settings that differ in {@code other}. */
    public ImmutableSet<String> differences(EntrySettings other) {
        ImmutableSet.Builder<String> names = ImmutableSet.builder();
        addIfDifferent(names, "self", self, other.self);
        addIfDifferent(names, "callAddress", callAddress, other.callAddress);
        addIfDifferent(names, "metricsAddress", metricsAddress, other.metricsAddress);
        addIfDifferent(names, "extraCalls", extraCalls, other.extraCalls);
        addIfDifferent(names, "grace", grace, other.grace);
        addIfDifferent(names, "addressesGoodFor", addressesGoodFor, other.addressesGoodFor);
        addIfDifferent(names, "watchTimes", watchTimes, other.watchTimes);
        addIfDifferent(names, "allowanceBounds", allowanceBounds, other.allowanceBounds);
        addIfDifferent(names, "probesPerSecond", probesPerSecond, other.probesPerSecond);
        addIfDifferent(names, "spillsBetweenZones", spillsBetweenZones, other.spillsBetweenZones);
        return names.build();
    }

    private static void addIfDifferent(ImmutableSet.Builder<String> names, String name, Object one, Object other) {
        if (!one.equals(other)) {
            names.add(name);
        }
    }

    /** Builds {@link EntrySettings}. Not thread safe. */
    public static final class Builder {
        private final EntryMember self;
        private @Nullable InetSocketAddress callAddress;
        private @Nullable InetSocketAddress metricsAddress;
        private @Nullable SharedBudget extraCalls;
        private @Nullable Duration grace;
        private @Nullable Duration addressesGoodFor;
        private WatchTimes watchTimes = WatchTimes.within(Optional.empty(), Optional.empty());
        private double probesPerSecond = Double.POSITIVE_INFINITY;
        private boolean spillsBetweenZones;

        private AllowanceBounds allowanceBounds = AllowanceBounds.DEFAULT;
        private boolean bootstrap;

        private Builder(EntryMember self) {
            this.self = self;
        }

        /** Sets the address to listen on for callers. */
        public Builder callAddress(InetSocketAddress value) {
            callAddress = value;
            return this;
        }

        /** Sets the address to listen on for metrics scrapers. */
        public Builder metricsAddress(InetSocketAddress value) {
            metricsAddress = value;
            return this;
        }

        /** Sets the budget for extra calls (retries and hedges) that all daemons share. */
        public Builder extraCalls(SharedBudget value) {
            extraCalls = value;
            return this;
        }

        /** Sets the time from the stop signal until the process is killed. */
        public Builder grace(Duration value) {
            grace = value;
            return this;
        }

        /** Sets the time for which callers may cache an answer of the directory. */
        public Builder addressesGoodFor(Duration value) {
            addressesGoodFor = value;
            return this;
        }

        /** Sets how long the daemon waits for changes of the store. The default suits changes that are in force within 2 s. */
        public Builder watchTimes(WatchTimes value) {
            watchTimes = value;
            return this;
        }

        /** Sets how far tenants may exceed their allowances. */
        public Builder allowanceBounds(AllowanceBounds value) {
            allowanceBounds = value;
            return this;
        }

        /** Sets whether a share of the calls may leave the zone when its targets have too little room. The default is no. */
        public Builder spillsBetweenZones(boolean value) {
            spillsBetweenZones = value;
            return this;
        }

        /** Sets the maximum number of load probes that a target receives a second from all daemons together. The default is no limit. */
        public Builder probesPerSecond(double value) {
            probesPerSecond = value;
            return this;
        }

        /** Sets whether the whole system starts for the first time. The default is that it does not. */
        public Builder bootstrap(boolean value) {
            bootstrap = value;
            return this;
        }

        /**
         * Returns the settings.
         *
         * @throws NullPointerException if a setting was not set
         * @throws IllegalArgumentException if a duration or a limit is not positive
         */
        public EntrySettings build() {
            return new EntrySettings(
                    self,
                    checkNotNull(callAddress, "callAddress"),
                    checkNotNull(metricsAddress, "metricsAddress"),
                    checkNotNull(extraCalls, "extraCalls"),
                    checkNotNull(grace, "grace"),
                    checkNotNull(addressesGoodFor, "addressesGoodFor"),
                    watchTimes,
                    allowanceBounds,
                    probesPerSecond,
                    spillsBetweenZones,
                    bootstrap);
        }
    }
}
