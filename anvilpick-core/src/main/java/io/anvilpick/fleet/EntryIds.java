package io.anvilpick.fleet;

import java.util.HashSet;
import java.util.Set;

/**
 * The ids of the entries in one read of the whole store, by kind.
 *
 * @param targets ids of registered targets
 * @param members names of registered daemons
 * @param evacuatedZones names of evacuated zones
 * @param crashReportBatches ids of batches of crash reports
 */
record EntryIds(Set<String> targets, Set<String> members, Set<String> evacuatedZones, Set<String> crashReportBatches) {
    /** Creates an empty set of ids, to which {@link #add} adds. */
    EntryIds() {
        this(new HashSet<>(), new HashSet<>(), new HashSet<>(), new HashSet<>());
    }

    /** Adds the id of {@code entry} if it is of one of the kinds. */
    void add(FleetChange entry) {
        switch (entry) {
            case FleetChange.TargetRegistered registered ->
                targets.add(registered.target().id());
            case FleetChange.MemberRegistered registered ->
                members.add(registered.member().name());
            case FleetChange.ZoneEvacuated evacuated -> evacuatedZones.add(evacuated.zone());
            case FleetChange.CrashReportsWritten written -> crashReportBatches.add(written.id());
            default -> {
                // Other changes have no entry that a later read may lack.
            }
        }
    }
}
