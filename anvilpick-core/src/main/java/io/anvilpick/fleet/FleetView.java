package io.anvilpick.fleet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.anvilpick.routes.RouteConfiguration;
import java.util.Optional;

/**
 * An immutable view of the fleet at one moment, as one daemon holds it.
 *
 * @param configuration the configuration in force; empty until one has been read
 * @param targets targets that accept new calls, by service; a list stays the same object while its content does not change
 * @param members daemons that accept callers
 * @param evacuatedZones zones whose targets get nothing new
 */
public record FleetView(
        Optional<RouteConfiguration> configuration,
        ImmutableMap<String, ImmutableList<RegisteredTarget>> targets,
        ImmutableList<EntryMember> members,
        ImmutableSet<String> evacuatedZones) {
    /** Creates a view without evacuated zones. */
    public FleetView(
            Optional<RouteConfiguration> configuration,
            ImmutableMap<String, ImmutableList<RegisteredTarget>> targets,
            ImmutableList<EntryMember> members) {
        this(configuration, targets, members, ImmutableSet.of());
    }

    /** Returns the view of a daemon that has read nothing yet. */
    public static FleetView empty() {
        return new FleetView(Optional.empty(), ImmutableMap.of(), ImmutableList.of());
    }
}
