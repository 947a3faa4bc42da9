package io.anvilpick.fleet.sync;

import com.google.common.collect.ImmutableList;
import io.anvilpick.crashes.CrashReportBatch;
import io.anvilpick.fleet.EntryMember;
import io.anvilpick.fleet.FleetChange;
import io.anvilpick.fleet.FleetDecoder;
import io.anvilpick.fleet.FleetStore;
import io.anvilpick.fleet.FleetUpdate;
import io.anvilpick.fleet.RegisteredTarget;
import io.anvilpick.fleet.StoreLease;
import io.anvilpick.fleet.StoreRevision;
import io.anvilpick.fleet.StoredItem;
import io.anvilpick.platform.PlatformException;
import io.anvilpick.routes.RouteConfiguration;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SequencedMap;

/**
 * A simulated store that can return from an older copy. Not thread safe. As the platform's store does, it knows only the number of
 * a watched revision, which it may have assigned again, and not its era.
 */
final class RewindableStore implements FleetDecoder {
    private static final String TARGETS = "t/";
    private static final String MEMBERS = "m/";
    private static final String CRASHES = "c/";

    private final TimeSource time;
    private final List<Write> writes = new ArrayList<>();
    private final Map<Long, Long> leases = new HashMap<>();

    /** The changes that the texts of items stand for. */
    private final Map<String, FleetChange> changesByText = new HashMap<>();

    private long era;
    private long number = 100;
    private long nextLease = 1;

    /** Calls of all clients. */
    final List<String> calls = new ArrayList<>();

    private record Write(long atNanos, long number, String key, Optional<String> text) {}

    RewindableStore(TimeSource time, long era) {
        this.time = time;
        this.era = era;
    }

    void put(RegisteredTarget target) {
        write(TARGETS + target.id(), new FleetChange.TargetRegistered(target));
    }

    void put(EntryMember member) {
        write(MEMBERS + member.name(), new FleetChange.MemberRegistered(member));
    }

    void put(RouteConfiguration configuration) {
        write("config", new FleetChange.ConfigurationWritten(configuration));
    }

    void removeTarget(String id) {
        append(TARGETS + id, Optional.empty());
    }

    /** Removes all crash reports, as when their leases end. */
    void endCrashReports() {
        writes.stream()
                .map(Write::key)
                .filter(key -> key.startsWith(CRASHES))
                .distinct()
                .toList()
                .forEach(key -> append(key, Optional.empty()));
    }

    /** Returns from the copy that was made {@code age} ago, with the next era. What was written since is lost. */
    void goBack(Duration age) {
        long copiedAt = time.nanos() - age.toNanos();
        writes.removeIf(write -> write.atNanos() > copiedAt);
        leases.values().removeIf(grantedAt -> grantedAt > copiedAt);
        number = writes.isEmpty() ? 100 : writes.getLast().number();
        era++;
    }

    private void write(String key, FleetChange change) {
        changesByText.put(change.toString(), change);
        append(key, Optional.of(change.toString()));
    }

    private void append(String key, Optional<String> text) {
        number++;
        writes.add(new Write(time.nanos(), number, key, text));
    }

    private StoredItem itemOf(Write write) {
        return new StoredItem(write.key(), new StoreRevision(era, write.number()), write.text());
    }

    private StoreRevision revision() {
        return new StoreRevision(era, number);
    }

    @Override
    public ImmutableList<FleetChange> decode(StoredItem item) {
        if (item.value().isPresent()) {
            return ImmutableList.of(changesByText.get(item.value().get()));
        }
        String key = item.key();
        if (key.startsWith(CRASHES)) {
            return ImmutableList.of(new FleetChange.CrashReportsRemoved(key.substring(CRASHES.length())));
        }
        return ImmutableList.of(
                key.startsWith(TARGETS)
                        ? new FleetChange.TargetRemoved(key.substring(TARGETS.length()))
                        : new FleetChange.MemberRemoved(key.substring(MEMBERS.length())));
    }

    FleetUpdate.FullState fullState() {
        SequencedMap<String, StoredItem> items = new LinkedHashMap<>();
        for (Write write : writes) {
            if (write.text().isPresent()) {
                items.put(write.key(), itemOf(write));
            } else {
                items.remove(write.key());
            }
        }
        return new FleetUpdate.FullState(ImmutableList.copyOf(items.values()), revision());
    }

    FleetUpdate changesAfter(long after) {
        if (after > number) {
            return new FleetUpdate.HistoryLost();
        }
        ImmutableList<StoredItem> items = writes.stream()
                .filter(write -> write.number() > after)
                .map(this::itemOf)
                .collect(ImmutableList.toImmutableList());
        return new FleetUpdate.Changes(items, revision());
    }

    /** One daemon's client of the store. */
    final class Client implements FleetStore {
        private long seenEra;

        /** An update that arrives late instead of the next one. */
        Optional<FleetUpdate> lateUpdate = Optional.empty();

        boolean unavailable;

        private void call(String name) throws PlatformException {
            calls.add(name);
            if (unavailable) {
                throw new PlatformException(PlatformException.Effect.UNKNOWN, "unavailable");
            }
        }

        @Override
        public FleetUpdate.FullState readAll(Freshness freshness) throws PlatformException {
            call("read");
            FleetUpdate late = lateUpdate.orElse(null);
            lateUpdate = Optional.empty();
            if (late instanceof FleetUpdate.FullState full) {
                return full;
            }
            seenEra = era;
            return fullState();
        }

        @Override
        public FleetUpdate awaitChanges(StoreRevision revision, Duration wait) throws PlatformException {
            call("await");
            Optional<FleetUpdate> late = lateUpdate;
            lateUpdate = Optional.empty();
            if (late.isPresent()) {
                return late.get();
            }
            seenEra = era;
            return changesAfter(revision.number());
        }

        @Override
        public long era() {
            return seenEra;
        }

        @Override
        public void abortWaiting() {
            calls.add("abort");
        }

        @Override
        public StoreLease grantLease(Duration timeToLive) throws PlatformException {
            call("grant");
            seenEra = era;
            leases.put(nextLease, time.nanos());
            return new StoreLease(era, nextLease++);
        }

        @Override
        public boolean renewLease(StoreLease lease) throws PlatformException {
            call("renew");
            seenEra = era;
            return lease.era() == era && leases.containsKey(lease.number());
        }

        @Override
        public void endLease(StoreLease lease) throws PlatformException {
            call("end");
        }

        @Override
        public boolean register(EntryMember member, StoreLease lease) throws PlatformException {
            call("register");
            put(member);
            return true;
        }

        @Override
        public boolean writeCrashReports(CrashReportBatch batch, StoreLease lease) throws PlatformException {
            call("crashes");
            write(CRASHES + batch.id(), new FleetChange.CrashReportsWritten(batch.id(), batch.reports()));
            return true;
        }
    }
}
