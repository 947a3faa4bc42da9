package io.anvilpick.fleet;

import com.google.common.collect.ImmutableList;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SequencedMap;
import java.util.concurrent.locks.ReentrantLock;

/**
 * The items that this daemon has read from the store, for daemons that follow the store through it. Thread safe; guarded by one
 * lock.
 *
 * <p>Revisions are those of the store, which allows a daemon to switch between the store and the log of any other daemon. An item
 * whose decoded content has not changed is not relayed, because most writes are only heartbeats of targets. Of an item that has
 * changed more than once, followers get the latest version only.
 */
public final class RelayLog {
    /** Changed items kept for followers. A follower that is further behind gets the full state. */
    private static final int MAX_CHANGES = 4_000;

    private final ReentrantLock lock = new ReentrantLock();
    private final TimeSource time;
    private final Map<String, DecodedItem> latest = new HashMap<>();

    /**
     * The latest change of each item, by key, in the order of revisions. A value is that of {@link #latest}, so that earlier
     * versions of an item take no memory.
     */
    private final SequencedMap<String, StoredItem> changes = new LinkedHashMap<>();

    private boolean initialized;

    /** Revision after which {@link #changes} is complete. */
    private StoreRevision completeAfter = StoreRevision.NONE;

    private StoreRevision revision = StoreRevision.NONE;
    private long readAtNanos;

    private record DecodedItem(StoredItem item, ImmutableList<FleetChange> decoded) {}

    /** Creates an empty log. */
    public RelayLog(TimeSource time) {
        this.time = time;
    }

    /** Replaces the content by all items of the store, read {@code age} ago at {@code readRevision}. */
    public void replaceAll(
            Map<StoredItem, ImmutableList<FleetChange>> items, StoreRevision readRevision, Duration age) {
        lock.lock();
        try {
            latest.clear();
            changes.clear();
            items.forEach((item, decoded) -> latest.put(item.key(), new DecodedItem(item, decoded)));
            initialized = true;
            completeAfter = readRevision;
            recordRead(readRevision, age);
        } finally {
            lock.unlock();
        }
    }

    /** Adds changes up to {@code readRevision}, read {@code age} ago. They are of the era of the last {@link #replaceAll}. */
    public void add(Map<StoredItem, ImmutableList<FleetChange>> items, StoreRevision readRevision, Duration age) {
        lock.lock();
        try {
            items.forEach(this::add);
            recordRead(StoreRevision.laterOf(revision, readRevision), age);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the update for a daemon that has read the store up to {@code after}; empty if this daemon has read nothing yet. A daemon
     * that has read another era gets the full state.
     */
    public Optional<RelayedUpdate> updateAfter(StoreRevision after) {
        lock.lock();
        try {
            if (!initialized) {
                return Optional.empty();
            }
            FleetUpdate update = hasChangesSince(after) ? changesAfter(after) : fullState();
            return Optional.of(new RelayedUpdate(update, Duration.ofNanos(time.nanos() - readAtNanos)));
        } finally {
            lock.unlock();
        }
    }

    private boolean hasChangesSince(StoreRevision after) {
        return after.era() == completeAfter.era() && !completeAfter.isAfter(after);
    }

    private void recordRead(StoreRevision readRevision, Duration age) {
        revision = readRevision;
        readAtNanos = time.nanos() - age.toNanos();
    }

    private void add(StoredItem item, ImmutableList<FleetChange> decoded) {
        DecodedItem before = item.value().isPresent()
                ? latest.put(item.key(), new DecodedItem(item, decoded))
                : latest.remove(item.key());
        if (before != null && before.decoded().equals(decoded)) {
            return;
        }
        changes.putLast(item.key(), item);
        if (changes.size() > MAX_CHANGES) {
            completeAfter = StoreRevision.laterOf(
                    completeAfter, changes.pollFirstEntry().getValue().revision());
        }
    }

    private FleetUpdate fullState() {
        ImmutableList.Builder<StoredItem> items = ImmutableList.builder();
        latest.values().forEach(entry -> items.add(entry.item()));
        return new FleetUpdate.FullState(items.build(), revision);
    }

    private FleetUpdate changesAfter(StoreRevision after) {
        ImmutableList.Builder<StoredItem> items = ImmutableList.builder();
        for (StoredItem item : changes.values()) {
            if (item.revision().isAfter(after)) {
                items.add(item);
            }
        }
        return new FleetUpdate.Changes(items.build(), revision);
    }
}
