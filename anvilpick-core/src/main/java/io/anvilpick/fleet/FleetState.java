package io.anvilpick.fleet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.anvilpick.routes.RouteConfiguration;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.Function;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * What this daemon believes of the fleet. Thread safe: one lock for writers, views are read without.
 *
 * <p>Registrations may lapse while the store is away although their owner lives. Then many vanish at once: where more than
 * half of a service's targets, or of the daemons, vanish soon after the store came back, they are kept until
 * {@link #RETURN_TIME} has passed, and gone if they are not back by then. A configuration never gives way to an older one.
 */
public final class FleetState {
    /** Time after the store's return within which the registrations of live owners are back. */
    public static final Duration RETURN_TIME = Duration.ofMillis(2_100);

    private static final Logger LOG = Logger.getLogger(FleetState.class);

    private final ReentrantLock lock = new ReentrantLock();
    private final TimeSource time;
    private final Consumer<FleetView> listener;
    private final Registrations<RegisteredTarget> targets = new Registrations<>("target", RegisteredTarget::service);
    private final Registrations<EntryMember> members = new Registrations<>("member", EntryMember::region);
    private @Nullable RouteConfiguration configuration;
    private boolean storeAway;
    private long graceEndNanos;
    private volatile FleetView view = FleetView.empty();

    /**
     * Creates an empty state.
     *
     * @param listener is told of each new view, under the lock and in order; it must not block
     */
    public FleetState(TimeSource time, Consumer<FleetView> listener) {
        this.time = time;
        this.listener = listener;
        this.graceEndNanos = time.nanos();
    }

    /** Returns what this daemon believes now. */
    public FleetView view() {
        return view;
    }

    /** Notes that the store did not answer. */
    public void noteStoreAway(String reason) {
        lock.lock();
        try {
            if (!storeAway) {
                LOG.warnf("event=store_lost reason=\"%s\"", reason);
            }
            storeAway = true;
        } finally {
            lock.unlock();
        }
    }

    /** Notes that the store answered. */
    public void noteStoreAnswered() {
        lock.lock();
        try {
            if (storeAway) {
                storeAway = false;
                graceEndNanos = time.nanos() + RETURN_TIME.toNanos();
                LOG.infof("event=store_regained lapsed_kept_ms=%d", RETURN_TIME.toMillis());
            }
        } finally {
            lock.unlock();
        }
    }

    /** Takes in changes in the order of the store. */
    public void apply(Iterable<FleetChange> changes) {
        lock.lock();
        try {
            changes.forEach(this::apply);
            dropLapsed();
            publish();
        } finally {
            lock.unlock();
        }
    }

    /** Takes in all that the store holds; what is not in it is gone. */
    public void replaceAll(Iterable<FleetChange> entries) {
        lock.lock();
        try {
            Set<String> seenTargets = new HashSet<>();
            Set<String> seenMembers = new HashSet<>();
            for (FleetChange entry : entries) {
                apply(entry);
                switch (entry) {
                    case FleetChange.TargetRegistered seen ->
                        seenTargets.add(seen.target().id());
                    case FleetChange.MemberRegistered seen ->
                        seenMembers.add(seen.member().name());
                    default -> {
                        // The others register nothing.
                    }
                }
            }
            targets.keepOnly(seenTargets);
            members.keepOnly(seenMembers);
            dropLapsed();
            publish();
        } finally {
            lock.unlock();
        }
    }

    /** Drops registrations that have not come back in time. */
    public void expire() {
        lock.lock();
        try {
            if (dropLapsed()) {
                publish();
            }
        } finally {
            lock.unlock();
        }
    }

    private void apply(FleetChange change) {
        switch (change) {
            case FleetChange.ConfigurationWritten configured -> configure(configured.configuration());
            case FleetChange.TargetRegistered seen -> targets.put(seen.target().id(), seen.target());
            case FleetChange.TargetRemoved gone -> targets.remove(gone.id());
            case FleetChange.MemberRegistered seen -> members.put(seen.member().name(), seen.member());
            case FleetChange.MemberRemoved gone -> members.remove(gone.name());
            case FleetChange.Unreadable entry ->
                LOG.warnf("event=entry_unreadable key=%s reason=\"%s\"", entry.key(), entry.reason());
        }
    }

    private void configure(RouteConfiguration next) {
        long inForce = configuration == null ? 0 : configuration.version();
        if (configuration != null && next.version() <= inForce) {
            if (next.version() < inForce) {
                LOG.warnf(
                        "event=configuration_refused version=%d in_force=%d reason=\"older than what is in force\"",
                        next.version(), inForce);
            }
            return;
        }
        configuration = next;
        LOG.infof(
                "event=configuration_in_force version=%d before=%d routes=%d services=%d",
                next.version(), inForce, next.routes().size(), next.services().size());
    }

    private boolean dropLapsed() {
        boolean mayReturn = storeAway || time.nanos() - graceEndNanos < 0;
        boolean targetsDropped = targets.dropLapsed(mayReturn);
        return members.dropLapsed(mayReturn) || targetsDropped;
    }

    private void publish() {
        Map<String, ImmutableList.Builder<RegisteredTarget>> byService = new TreeMap<>();
        for (RegisteredTarget target : targets.all()) {
            if (!target.config().leaving()) {
                byService
                        .computeIfAbsent(target.service(), service -> ImmutableList.builder())
                        .add(target);
            }
        }
        ImmutableMap.Builder<String, ImmutableList<RegisteredTarget>> lists = ImmutableMap.builder();
        byService.forEach((service, builder) -> {
            ImmutableList<RegisteredTarget> list = builder.build();
            ImmutableList<RegisteredTarget> before = view.targets().get(service);
            lists.put(service, before != null && before.equals(list) ? before : list);
        });
        FleetView next = new FleetView(
                Optional.ofNullable(configuration), lists.buildOrThrow(), ImmutableList.copyOf(members.all()));
        if (!Objects.equals(next, view)) {
            view = next;
            listener.accept(next);
        }
    }

    /** Registrations of one kind, those among them that have vanished and may come back. */
    private static final class Registrations<T> {
        private final String kind;
        private final Function<T, String> groupOf;
        private final Map<String, T> held = new LinkedHashMap<>();
        private final Map<String, T> lapsed = new HashMap<>();

        private Registrations(String kind, Function<T, String> groupOf) {
            this.kind = kind;
            this.groupOf = groupOf;
        }

        private Iterable<T> all() {
            return held.values();
        }

        private void put(String id, T registration) {
            T before = held.put(id, registration);
            lapsed.remove(id);
            if (!registration.equals(before)) {
                LOG.infof("event=%s_seen id=%s entry=\"%s\"", kind, id, registration);
            }
        }

        private void remove(String id) {
            T known = held.get(id);
            if (known != null) {
                lapsed.put(id, known);
            }
        }

        private void keepOnly(Set<String> seen) {
            held.keySet().stream().filter(id -> !seen.contains(id)).toList().forEach(this::remove);
        }

        /** Drops what has vanished, but for groups that may return and of which most have vanished. */
        private boolean dropLapsed(boolean mayReturn) {
            List<String> dropped = new ArrayList<>();
            lapsed.forEach((id, registration) -> {
                if (!mayReturn || !isMostGone(groupOf.apply(registration))) {
                    dropped.add(id);
                }
            });
            for (String id : dropped) {
                held.remove(id);
                lapsed.remove(id);
                LOG.infof("event=%s_gone id=%s", kind, id);
            }
            return !dropped.isEmpty();
        }

        private boolean isMostGone(String group) {
            return 2 * count(lapsed, group) > count(held, group);
        }

        private long count(Map<String, T> registrations, String group) {
            return registrations.values().stream()
                    .filter(registration -> groupOf.apply(registration).equals(group))
                    .count();
        }
    }
}
