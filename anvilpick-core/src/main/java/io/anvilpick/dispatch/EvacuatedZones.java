package io.anvilpick.dispatch;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import io.anvilpick.config.TargetConfig;
import java.util.Set;
import org.jboss.logging.Logger;

/**
 * The evacuated zones, whose targets get neither calls nor probes. Guarded by the dispatcher's lock.
 *
 * <p>Load pattern: a zone leaves the service under full load, and its calls move to the other zones.
 */
final class EvacuatedZones {
    private static final Logger LOG = Logger.getLogger(EvacuatedZones.class);

    private ImmutableSet<String> zones = ImmutableSet.of();
    private boolean refusing;

    /** Replaces the zones and returns those that are no longer evacuated. */
    ImmutableSet<String> replace(Set<String> changed) {
        ImmutableSet<String> returned = Sets.difference(zones, changed).immutableCopy();
        zones = ImmutableSet.copyOf(changed);
        return returned;
    }

    boolean isEmpty() {
        return zones.isEmpty();
    }

    boolean contains(TargetConfig target) {
        return zones.contains(target.zone());
    }

    /** Records whether the calls of {@code service} are refused for want of a target elsewhere. Logs each change. */
    void recordRefusing(String service, boolean now) {
        if (now == refusing) {
            return;
        }
        refusing = now;
        if (now) {
            LOG.warnf(
                    "event=calls_refused service=%s zones=\"%s\" reason=\"all zones with targets are evacuated\"",
                    service, String.join(",", zones));
        } else {
            LOG.infof("event=calls_accepted service=%s zones=\"%s\"", service, String.join(",", zones));
        }
    }
}
