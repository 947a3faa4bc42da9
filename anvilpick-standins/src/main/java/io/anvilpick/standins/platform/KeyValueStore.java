package io.anvilpick.standins.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.ReentrantLock;

/** Keys with revisions, leases and waiting watches, in memory. Thread safe under one lock. */
final class KeyValueStore {
    private final ReentrantLock lock = new ReentrantLock();
    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private long lastRevision;
    private long lastLease;

    /** A key's value. */
    record Row(String key, String value, long revision, long lease) {}

    private record Lease(long ttlMillis, long untilMillis) {}

    private record Watch(String key, long after, CompletableFuture<Row> found) {}

    Optional<Row> read(String key, long nowMillis) {
        lock.lock();
        try {
            dropLapsed(nowMillis);
            return Optional.ofNullable(rows.get(key));
        } finally {
            lock.unlock();
        }
    }

    List<Row> list(String prefix, long nowMillis) {
        lock.lock();
        try {
            dropLapsed(nowMillis);
            return rows.tailMap(prefix).values().stream()
                    .takeWhile(row -> row.key().startsWith(prefix))
                    .toList();
        } finally {
            lock.unlock();
        }
    }

    /** Returns the new revision, or minus the present one if it is not the one expected. */
    long compareAndSet(String key, long expected, String value, long lease, long nowMillis) {
        lock.lock();
        try {
            dropLapsed(nowMillis);
            Row present = rows.get(key);
            long revision = present == null ? 0 : present.revision();
            if (revision != expected || (lease != 0 && !leases.containsKey(lease))) {
                return -revision;
            }
            Row row = new Row(key, value, ++lastRevision, lease);
            rows.put(key, row);
            notifyWatches(row);
            return row.revision();
        } finally {
            lock.unlock();
        }
    }

    /** Returns a future that completes once the key's revision exceeds {@code after}. */
    CompletableFuture<Row> watch(String key, long after) {
        lock.lock();
        try {
            Row present = rows.get(key);
            if (present != null && present.revision() > after) {
                return CompletableFuture.completedFuture(present);
            }
            Watch watch = new Watch(key, after, new CompletableFuture<>());
            watches.add(watch);
            return watch.found();
        } finally {
            lock.unlock();
        }
    }

    void forget(CompletableFuture<Row> found) {
        lock.lock();
        try {
            watches.removeIf(watch -> watch.found() == found);
        } finally {
            lock.unlock();
        }
    }

    long grantLease(long ttlMillis, long nowMillis) {
        lock.lock();
        try {
            leases.put(++lastLease, new Lease(ttlMillis, nowMillis + ttlMillis));
            return lastLease;
        } finally {
            lock.unlock();
        }
    }

    boolean renewLease(long lease, long nowMillis) {
        lock.lock();
        try {
            dropLapsed(nowMillis);
            return leases.computeIfPresent(lease, (id, old) -> new Lease(old.ttlMillis(), nowMillis + old.ttlMillis()))
                    != null;
        } finally {
            lock.unlock();
        }
    }

    /** Puts a value in place whatever was there, as a restored copy of the platform's data would be. */
    void restore(String key, String value) {
        lock.lock();
        try {
            Row row = new Row(key, value, ++lastRevision, 0);
            rows.put(key, row);
            notifyWatches(row);
        } finally {
            lock.unlock();
        }
    }

    private void notifyWatches(Row row) {
        List<Watch> due = watches.stream()
                .filter(watch -> watch.key().equals(row.key()) && row.revision() > watch.after())
                .toList();
        watches.removeAll(due);
        due.forEach(watch -> watch.found().completeAsync(() -> row));
    }

    private void dropLapsed(long nowMillis) {
        boolean lapsed = leases.values().removeIf(lease -> lease.untilMillis() < nowMillis);
        if (lapsed) {
            rows.values().removeIf(row -> row.lease() != 0 && !leases.containsKey(row.lease()));
        }
    }
}
