package io.anvilpick.fleet;

import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;
import org.jboss.logging.Logger;

/** The evacuated zones, as last read from the store. Logs each change. Not thread safe. */
final class ZoneEvacuations {
    private static final Logger LOG = Logger.getLogger(ZoneEvacuations.class);

    private final Set<String> zones = new LinkedHashSet<>();

    /** Evacuated zones that the store has neither stated nor deleted since its era changed. */
    private final Set<String> keptMissing = new HashSet<>();

    void add(String zone) {
        keptMissing.remove(zone);
        if (zones.add(zone)) {
            LOG.infof("event=zone_evacuated zone=\"%s\" evacuated=%d", zone, zones.size());
        }
    }

    void remove(String zone) {
        keptMissing.remove(zone);
        if (zones.remove(zone)) {
            LOG.infof("event=zone_returned zone=\"%s\" evacuated=%d", zone, zones.size());
        }
    }

    /** Keeps all evacuations until {@link #dropMissing}, even if an older copy of the store lacks them. */
    void keepMissing() {
        keptMissing.addAll(zones);
    }

    /** Removes the kept zones that the store has not stated again. */
    void dropMissing() {
        ImmutableSet.copyOf(keptMissing).forEach(this::remove);
    }

    /** Removes the zones that are not in {@code listed}, except those kept after a change of era. */
    void retainAll(Set<String> listed) {
        ImmutableSet.copyOf(zones).stream()
                .filter(zone -> !listed.contains(zone) && !keptMissing.contains(zone))
                .forEach(this::remove);
    }

    ImmutableSet<String> zones() {
        return ImmutableSet.copyOf(zones);
    }
}
