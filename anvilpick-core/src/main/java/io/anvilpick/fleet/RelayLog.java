package io.anvilpick.fleet;

import com.google.common.collect.ImmutableList;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;

/**
 * What this daemon has read of the store, for daemons that follow the store through it. Thread safe under its own lock.
 *
 * <p>Revisions are those of the store, so a daemon may change between the store and any other daemon's log. Items that say what
 * they said before are not passed on; most writes only tell that a target lives.
 */
public final class RelayLog {
    /** Changes kept for those who follow; who is further behind gets everything. */
    private static final int MOST_CHANGES = 4_000;

    private final ReentrantLock lock = new ReentrantLock();
    private final TimeSource time;
    private final Map<String, Held> held = new HashMap<>();
    private final Deque<StoredItem> changes = new ArrayDeque<>();
    private boolean started;
    private long completeAfter;
    private long revision;
    private long readAtNanos;

    private record Held(StoredItem item, ImmutableList<FleetChange> meaning) {}

    /** Creates an empty log. */
    public RelayLog(TimeSource time) {
        this.time = time;
    }

    /** Starts anew with all that the store held when it was read, {@code age} ago. */
    public void replaceAll(Map<StoredItem, ImmutableList<FleetChange>> items, long at, Duration age) {
        lock.lock();
        try {
            held.clear();
            changes.clear();
            items.forEach((item, meaning) -> held.put(item.key(), new Held(item, meaning)));
            started = true;
            completeAfter = at;
            noteRead(at, age);
        } finally {
            lock.unlock();
        }
    }

    /** Adds changes up to revision {@code at}, read {@code age} ago. */
    public void add(Map<StoredItem, ImmutableList<FleetChange>> items, long at, Duration age) {
        lock.lock();
        try {
            items.forEach(this::add);
            noteRead(Math.max(revision, at), age);
        } finally {
            lock.unlock();
        }
    }

    /** Notes that the store answered another call just now, so that nothing new is on its way. */
    public void noteHeard() {
        lock.lock();
        try {
            readAtNanos = time.nanos();
        } finally {
            lock.unlock();
        }
    }

    /** Returns what a daemon lacks that knows the store up to {@code after}; none if this daemon has read nothing yet. */
    public Optional<RelayedUpdate> updateAfter(long after) {
        lock.lock();
        try {
            if (!started) {
                return Optional.empty();
            }
            FleetUpdate update = after < completeAfter ? everything() : changesAfter(after);
            return Optional.of(new RelayedUpdate(update, Duration.ofNanos(time.nanos() - readAtNanos)));
        } finally {
            lock.unlock();
        }
    }

    private void noteRead(long at, Duration age) {
        revision = at;
        readAtNanos = time.nanos() - age.toNanos();
    }

    private void add(StoredItem item, ImmutableList<FleetChange> meaning) {
        Held before =
                item.value().isPresent() ? held.put(item.key(), new Held(item, meaning)) : held.remove(item.key());
        if (before != null && before.meaning().equals(meaning)) {
            return;
        }
        changes.addLast(item);
        if (changes.size() > MOST_CHANGES) {
            completeAfter = Math.max(completeAfter, changes.removeFirst().revision());
        }
    }

    private FleetUpdate everything() {
        ImmutableList.Builder<StoredItem> items = ImmutableList.builder();
        held.values().forEach(each -> items.add(each.item()));
        return new FleetUpdate.FullState(items.build(), revision);
    }

    private FleetUpdate changesAfter(long after) {
        ImmutableList.Builder<StoredItem> items = ImmutableList.builder();
        for (StoredItem item : changes) {
            if (item.revision() > after) {
                items.add(item);
            }
        }
        return new FleetUpdate.Changes(items.build(), revision);
    }
}
