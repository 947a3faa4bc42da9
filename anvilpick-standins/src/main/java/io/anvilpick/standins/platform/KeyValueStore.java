package io.anvilpick.standins.platform;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.ReentrantLock;

/**
 * An in-memory key-value store with revisions, leases and watches. It can return from an older copy of itself. Thread safe; one lock
 * guards all state.
 */
final class KeyValueStore {
    /** Age of the oldest copy from which the store can return, in milliseconds. */
    static final long HISTORY_MILLIS = 60_000;

    private final ReentrantLock lock = new ReentrantLock();
    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<Watch> watches = new ArrayList<>();

    /** What each change within {@link #HISTORY_MILLIS} replaced, the oldest change first. */
    private final Deque<Undo> history = new ArrayDeque<>();

    private long lastRevision;
    private long lastLease;
    private long era;

    /** The value of a key, with its revision and its lease. A lease of 0 means none. */
    record Row(String key, String value, long revision, long lease) {}

    private record Lease(long ttlMillis, long expiresAtMillis) {}

    /** What restores the state before a change. */
    private sealed interface Undo {
        /** Time of the change in milliseconds. */
        long atMillis();

        /** A row was written or removed, in place of {@code before}. */
        record Changed(long atMillis, String key, Optional<Row> before, long lastRevision) implements Undo {}

        /** A lease was granted. */
        record Granted(long atMillis, long lease) implements Undo {}
    }

    private record Watch(String key, long after, CompletableFuture<Row> future) {}

    Optional<Row> read(String key, long nowMillis) {
        lock.lock();
        try {
            removeExpired(nowMillis);
            return Optional.ofNullable(rows.get(key));
        } finally {
            lock.unlock();
        }
    }

    List<Row> list(String prefix, long nowMillis) {
        lock.lock();
        try {
            removeExpired(nowMillis);
            return rows.tailMap(prefix).values().stream()
                    .takeWhile(row -> row.key().startsWith(prefix))
                    .toList();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Writes the value if the key has the revision {@code expected} and the lease exists or is 0. A key without a value
     * has the revision 0. Returns the new revision, or the negated current revision if nothing was written.
     */
    long compareAndSet(String key, long expected, String value, long lease, long nowMillis) {
        lock.lock();
        try {
            removeExpired(nowMillis);
            Row current = rows.get(key);
            long revision = current == null ? 0 : current.revision();
            if (revision != expected || (lease != 0 && !leases.containsKey(lease))) {
                return -revision;
            }
            return put(key, value, lease, nowMillis).revision();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns a future that completes with the row of the key once its revision is greater than {@code after}. The
     * removal of a row whose lease has expired does not complete it.
     */
    CompletableFuture<Row> watch(String key, long after) {
        lock.lock();
        try {
            Row current = rows.get(key);
            if (current != null && current.revision() > after) {
                return CompletableFuture.completedFuture(current);
            }
            Watch watch = new Watch(key, after, new CompletableFuture<>());
            watches.add(watch);
            return watch.future();
        } finally {
            lock.unlock();
        }
    }

    void cancelWatch(CompletableFuture<Row> future) {
        lock.lock();
        try {
            watches.removeIf(watch -> watch.future() == future);
        } finally {
            lock.unlock();
        }
    }

    long grantLease(long ttlMillis, long nowMillis) {
        lock.lock();
        try {
            leases.put(++lastLease, new Lease(ttlMillis, nowMillis + ttlMillis));
            record(new Undo.Granted(nowMillis, lastLease));
            return lastLease;
        } finally {
            lock.unlock();
        }
    }

    boolean renewLease(long lease, long nowMillis) {
        lock.lock();
        try {
            removeExpired(nowMillis);
            return leases.computeIfPresent(lease, (id, old) -> new Lease(old.ttlMillis(), nowMillis + old.ttlMillis()))
                    != null;
        } finally {
            lock.unlock();
        }
    }

    /** Writes the value regardless of the current revision, as a restore of the platform's data from a backup does. */
    void restore(String key, String value, long nowMillis) {
        lock.lock();
        try {
            put(key, value, 0, nowMillis);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns from the copy that was made {@code ageMillis} ago, or {@link #HISTORY_MILLIS} ago if that is later, and returns the next era, which starts.
     * Changes and grants of leases since then are lost. Revisions and the numbers of leases go back and are assigned again. A row
     * whose lease has expired since is not restored.
     */
    long goBack(long ageMillis, long nowMillis) {
        lock.lock();
        try {
            while (!history.isEmpty() && history.getLast().atMillis() > nowMillis - ageMillis) {
                undo(history.removeLast());
            }
            rows.values().removeIf(row -> row.lease() != 0 && !leases.containsKey(row.lease()));
            return ++era;
        } finally {
            lock.unlock();
        }
    }

    private void undo(Undo change) {
        switch (change) {
            case Undo.Changed(long ignored, String key, Optional<Row> before, long revision) -> {
                before.ifPresentOrElse(row -> rows.put(key, row), () -> rows.remove(key));
                lastRevision = revision;
            }
            case Undo.Granted(long ignored, long lease) -> {
                leases.remove(lease);
                lastLease = lease - 1;
            }
        }
    }

    private Row put(String key, String value, long lease, long nowMillis) {
        record(new Undo.Changed(nowMillis, key, Optional.ofNullable(rows.get(key)), lastRevision));
        Row row = new Row(key, value, ++lastRevision, lease);
        rows.put(key, row);
        notifyWatches(row);
        return row;
    }

    private void record(Undo change) {
        history.addLast(change);
        while (history.getFirst().atMillis() < change.atMillis() - HISTORY_MILLIS) {
            history.removeFirst();
        }
    }

    private void notifyWatches(Row row) {
        List<Watch> matching = watches.stream()
                .filter(watch -> watch.key().equals(row.key()) && row.revision() > watch.after())
                .toList();
        watches.removeAll(matching);
        matching.forEach(watch -> watch.future().completeAsync(() -> row));
    }

    private void removeExpired(long nowMillis) {
        boolean expired = leases.values().removeIf(lease -> lease.expiresAtMillis() < nowMillis);
        if (expired) {
            List<Row> lapsed = rows.values().stream()
                    .filter(row -> row.lease() != 0 && !leases.containsKey(row.lease()))
                    .toList();
            for (Row row : lapsed) {
                record(new Undo.Changed(nowMillis, row.key(), Optional.of(row), lastRevision));
                rows.remove(row.key());
            }
        }
    }
}
