package io.anvilpick.fleet;

import com.google.common.collect.ImmutableList;
import io.anvilpick.crashes.CrashReport;
import io.anvilpick.routes.RouteConfiguration;
import java.util.OptionalLong;

/** A change of the fleet, decoded from an item of the store. */
public sealed interface FleetChange {
    /** A configuration was written. */
    record ConfigurationWritten(RouteConfiguration configuration) implements FleetChange {}

    /** A target has registered or changed its registration. */
    record TargetRegistered(RegisteredTarget target) implements FleetChange {}

    /** A target's registration was deleted or has lapsed. */
    record TargetRemoved(String id) implements FleetChange {}

    /** A daemon has registered. */
    record MemberRegistered(EntryMember member) implements FleetChange {}

    /** A daemon's registration was deleted or has lapsed. */
    record MemberRemoved(String name) implements FleetChange {}

    /** A zone is evacuated: its targets get nothing new. */
    record ZoneEvacuated(String zone) implements FleetChange {}

    /** A zone is no longer evacuated. */
    record ZoneReturned(String zone) implements FleetChange {}

    /** A daemon wrote the batch {@code id} of crash reports. */
    record CrashReportsWritten(String id, ImmutableList<CrashReport> reports) implements FleetChange {}

    /** The batch {@code id} of crash reports was deleted or its lease has ended. */
    record CrashReportsRemoved(String id) implements FleetChange {}

    /**
     * An item cannot be decoded, for {@code reason}.
     *
     * <p>If it is a target's registration, a {@link TargetRemoved} goes with it, as its previous content no longer holds. For
     * other items the previous content stays valid, except that a read of the whole store removes a daemon whose registration is
     * unreadable.
     *
     * @param key key in the store, for log lines
     * @param subject what the item describes, according to its key
     */
    record Unreadable(String key, Subject subject, String reason) implements FleetChange {}

    /** What an item of the store describes. */
    sealed interface Subject {
        /**
         * The configuration.
         *
         * @param version its version; empty if that cannot be read either
         */
        record Configuration(OptionalLong version) implements Subject {}

        /** The registration of target {@code id}. */
        record Target(String id) implements Subject {}

        /** The registration of daemon {@code name}. */
        record Member(String name) implements Subject {}

        /** The batch {@code id} of crash reports. */
        record CrashReports(String id) implements Subject {}

        /** Something that daemons do not use. */
        record Other(String key) implements Subject {}
    }
}
