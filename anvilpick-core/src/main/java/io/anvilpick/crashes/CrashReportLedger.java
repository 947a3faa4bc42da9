package io.anvilpick.crashes;

import com.google.common.collect.ArrayListMultimap;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ListMultimap;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;

/**
 * Which crash reports are in the store, and which this daemon is to write there. Thread safe; guarded by one lock.
 *
 * <p>A report that the store holds is known to daemons that start, also if all of them were lost. Each daemon that knows a report is
 * to write it, at a time of its own, unless the store holds it by then: the others have it written if the first one ends, is cut off
 * or never heard of it, or if the store loses it.
 *
 * <p>Bound: {@link #MAX_STORED} reports in the store and {@link #MAX_UNSTORED} to be written. Removal: a batch ends with its lease, and
 * a report that is to be written leaves when the store holds it or it expires.
 */
public final class CrashReportLedger {
    /** Reports in the store from which no more are written. They take about 400 KB there. */
    static final int MAX_STORED = 4_000;

    static final int MAX_UNSTORED = 4_000;

    /** Time before the expiry of a report from which it is not written again. It covers differences between clocks. */
    private static final long NEARLY_EXPIRED_MILLIS = 30_000;

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition added = lock.newCondition();
    private final TimeSource time;
    private final CrashHistory history;
    private final Supplier<Deadline> turn;

    /** The batches in the store, by id. */
    private final Map<String, ImmutableList<CrashReport>> batches = new HashMap<>();

    /** The reports of all batches, by fingerprint. */
    private final ListMultimap<String, CrashReport> stored = ArrayListMultimap.create();

    /** The reports to write, with the time from which this daemon does so. */
    private final Map<CrashReport, Deadline> unstored = new LinkedHashMap<>();

    /**
     * Creates an empty ledger.
     *
     * @param history receives the reports in the store
     * @param turn supplies the time from which this daemon writes a report that becomes known now
     */
    public CrashReportLedger(TimeSource time, CrashHistory history, Supplier<Deadline> turn) {
        this.time = time;
        this.history = history;
        this.turn = turn;
    }

    /** Returns a ledger for a daemon that neither uses nor writes crash reports. */
    public static CrashReportLedger unwritten(TimeSource time) {
        return new CrashReportLedger(time, new CrashHistory(time), () -> Deadline.after(time, Duration.ZERO));
    }

    /** Records a new report of this daemon or another one, which is to be written in this daemon's turn. */
    public void recordReport(CrashReport report) {
        lock.lock();
        try {
            addUnstored(report, turn.get());
        } finally {
            lock.unlock();
        }
    }

    /** Records that reports could not be written. They are to be written from {@code retryFrom}. */
    public void recordFailure(List<CrashReport> reports, Deadline retryFrom) {
        lock.lock();
        try {
            reports.forEach(report -> addUnstored(report, retryFrom));
        } finally {
            lock.unlock();
        }
    }

    /** Records that the store holds {@code batch}, and adds its reports to the history. */
    public void recordBatch(CrashReportBatch batch) {
        lock.lock();
        try {
            ImmutableList<CrashReport> before = batches.remove(batch.id());
            if (before != null) {
                before.forEach(report -> stored.remove(report.fingerprint(), report));
            }
            if (stored.size() + batch.reports().size() <= MAX_STORED) {
                batches.put(batch.id(), batch.reports());
                batch.reports().forEach(report -> stored.put(report.fingerprint(), report));
            }
            if (before != null) {
                writeAgain(before);
            }
            unstored.keySet().removeIf(this::isStored);
        } finally {
            lock.unlock();
        }
        batch.reports().forEach(history::add);
    }

    /** Records that the store no longer holds batch {@code id}. Its reports are written again unless they expire soon. */
    public void recordRemoval(String id) {
        lock.lock();
        try {
            remove(id);
        } finally {
            lock.unlock();
        }
    }

    /** Records that the store holds no other batches than {@code ids}. */
    public void retainBatches(Set<String> ids) {
        lock.lock();
        try {
            ImmutableSet.copyOf(batches.keySet()).stream()
                    .filter(id -> !ids.contains(id))
                    .forEach(this::remove);
        } finally {
            lock.unlock();
        }
    }

    /** Blocks until a report is due to be written, at most for {@code timeout}. */
    public void awaitDue(Duration timeout) throws InterruptedException {
        Deadline end = Deadline.after(time, timeout);
        lock.lock();
        try {
            while (true) {
                Deadline wakeUp = unstored.values().stream().reduce(end, Deadline::earlier);
                if (wakeUp.hasPassed(time)) {
                    return;
                }
                // Returns early when a report is added, which may be due earlier.
                boolean ignored = added.await(wakeUp.remainingNanos(time.nanos()), TimeUnit.NANOSECONDS);
            }
        } finally {
            lock.unlock();
        }
    }

    /** Removes and returns reports that are due to be written, at most {@link CrashReportBatch#MAX_REPORTS}. */
    public ImmutableList<CrashReport> takeDue() {
        lock.lock();
        try {
            long now = time.epochMillis();
            unstored.keySet().removeIf(report -> report.isExpired(now));
            ImmutableList<CrashReport> due = unstored.entrySet().stream()
                    .filter(entry -> entry.getValue().hasPassed(time))
                    .map(Map.Entry::getKey)
                    .limit(CrashReportBatch.MAX_REPORTS)
                    .collect(ImmutableList.toImmutableList());
            due.forEach(unstored::remove);
            return due;
        } finally {
            lock.unlock();
        }
    }

    /** Returns whether the store may hold {@code count} more reports. */
    public boolean hasRoomFor(int count) {
        lock.lock();
        try {
            return stored.size() + count <= MAX_STORED;
        } finally {
            lock.unlock();
        }
    }

    /** Returns the number of reports that are to be written. */
    public int unstoredReports() {
        lock.lock();
        try {
            return unstored.size();
        } finally {
            lock.unlock();
        }
    }

    private void remove(String id) {
        ImmutableList<CrashReport> removed = batches.remove(id);
        if (removed == null) {
            return;
        }
        removed.forEach(report -> stored.remove(report.fingerprint(), report));
        writeAgain(removed);
    }

    private void writeAgain(ImmutableList<CrashReport> reports) {
        Deadline from = turn.get();
        long soon = time.epochMillis() + NEARLY_EXPIRED_MILLIS;
        reports.stream().filter(report -> !report.isExpired(soon)).forEach(report -> addUnstored(report, from));
    }

    private void addUnstored(CrashReport report, Deadline from) {
        if (!isStored(report) && unstored.size() < MAX_UNSTORED) {
            unstored.putIfAbsent(report, from);
            added.signalAll();
        }
    }

    private boolean isStored(CrashReport report) {
        return stored.get(report.fingerprint()).stream().anyMatch(report::isSameCrash);
    }
}
