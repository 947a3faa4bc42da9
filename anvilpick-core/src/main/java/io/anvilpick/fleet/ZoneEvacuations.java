package io.anvilpick.fleet;

import com.google.common.collect.ImmutableSet;
import java.util.LinkedHashSet;
import java.util.Set;
import org.jboss.logging.Logger;

/** The evacuated zones, as last read from the store. Logs each change. Not thread safe. */
final class ZoneEvacuations {
    private static final Logger LOG = Logger.getLogger(ZoneEvacuations.class);

    private final Set<String> zones = new LinkedHashSet<>();

    void add(String zone) {
        if (zones.add(zone)) {
            LOG.infof("event=zone_evacuated zone=\"%s\" evacuated=%d", zone, zones.size());
        }
    }

    void remove(String zone) {
        if (zones.remove(zone)) {
            LOG.infof("event=zone_returned zone=\"%s\" evacuated=%d", zone, zones.size());
        }
    }

    /** Removes the zones that are not in {@code listed}. */
    void retainAll(Set<String> listed) {
        ImmutableSet.copyOf(zones).stream()
                .filter(zone -> !listed.contains(zone))
                .forEach(this::remove);
    }

    ImmutableSet<String> zones() {
        return ImmutableSet.copyOf(zones);
    }
}
