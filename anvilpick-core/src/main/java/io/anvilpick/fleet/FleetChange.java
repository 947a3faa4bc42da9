package io.anvilpick.fleet;

import io.anvilpick.routes.RouteConfiguration;

/** A change of what the store holds. */
public sealed interface FleetChange {
    /** A configuration was written. */
    record ConfigurationWritten(RouteConfiguration configuration) implements FleetChange {}

    /** A target has registered or changed its registration. */
    record TargetRegistered(RegisteredTarget target) implements FleetChange {}

    /** A target's registration is gone. */
    record TargetRemoved(String id) implements FleetChange {}

    /** A daemon has registered. */
    record MemberRegistered(EntryMember member) implements FleetChange {}

    /** A daemon's registration is gone. */
    record MemberRemoved(String name) implements FleetChange {}

    /** An entry cannot be read, for {@code reason}; what it said before no longer holds if it was a target's. */
    record Unreadable(String key, String reason) implements FleetChange {}
}
