package io.anvilpick.fleet;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.jboss.logging.Logger;

/** Registrations of one kind, including lapsed ones whose owners may register again. Not thread safe. */
final class Registrations<T> {
    private static final Logger LOG = Logger.getLogger(Registrations.class);

    private final String kind;
    private final Function<T, String> groupOf;
    private final Map<String, T> registrations = new LinkedHashMap<>();
    private final Map<String, T> lapsed = new HashMap<>();
    private final Consumer<T> removalListener;

    /** Registrations that the store has neither stated nor deleted since its era changed. */
    private final Set<String> keptMissing = new HashSet<>();

    Registrations(String kind, Function<T, String> groupOf, Consumer<T> removalListener) {
        this.kind = kind;
        this.groupOf = groupOf;
        this.removalListener = removalListener;
    }

    /** Keeps all present registrations for the grace period if the store turns out to lack them. */
    void keepMissing() {
        keptMissing.addAll(registrations.keySet());
    }

    Iterable<T> all() {
        return registrations.values();
    }

    void put(String id, T registration) {
        T before = registrations.put(id, registration);
        lapsed.remove(id);
        keptMissing.remove(id);
        if (!registration.equals(before)) {
            LOG.infof("event=%s_seen id=%s entry=\"%s\"", kind, id, registration);
        }
    }

    void remove(String id) {
        keptMissing.remove(id);
        lapse(id);
    }

    private void lapse(String id) {
        T current = registrations.get(id);
        if (current != null) {
            lapsed.put(id, current);
        }
    }

    void retainAll(Set<String> ids) {
        registrations.keySet().stream().filter(id -> !ids.contains(id)).toList().forEach(this::lapse);
    }

    ImmutableSet<String> lapsed() {
        return ImmutableSet.copyOf(lapsed.keySet());
    }

    boolean hasLapsed() {
        return !lapsed.isEmpty();
    }

    /**
     * Removes lapsed registrations. In the grace period it keeps those that an older copy of the store lacked, and those of a group
     * of which more than half have lapsed.
     */
    void dropLapsed(boolean inGracePeriod) {
        List<String> dropped = new ArrayList<>();
        lapsed.forEach((id, registration) -> {
            if (!inGracePeriod || !isKept(id, registration)) {
                dropped.add(id);
            }
        });
        for (String id : dropped) {
            registrations.remove(id);
            removalListener.accept(lapsed.remove(id));
            LOG.infof("event=%s_gone id=%s", kind, id);
        }
        if (!inGracePeriod) {
            keptMissing.clear();
        }
    }

    private boolean isKept(String id, T registration) {
        return keptMissing.contains(id) || hasMostlyLapsed(groupOf.apply(registration));
    }

    private boolean hasMostlyLapsed(String group) {
        return 2 * count(lapsed, group) > count(registrations, group);
    }

    private long count(Map<String, T> counted, String group) {
        return counted.values().stream()
                .filter(registration -> groupOf.apply(registration).equals(group))
                .count();
    }
}
