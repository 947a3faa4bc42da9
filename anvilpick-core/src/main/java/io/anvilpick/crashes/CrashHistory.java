package io.anvilpick.crashes;

import io.anvilpick.shard.Shards;
import io.anvilpick.time.TimeSource;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.SequencedMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The crash reports that this daemon holds, by the request that was running. Thread safe, in shards by fingerprint.
 *
 * <p>The reports of a request can be cleared once it is answered, since a request that crashes its target never is.
 *
 * <p>Bound: {@link #MAX_REQUESTS}; the request reported first that is not blocked makes room for another one. Removal: when the
 * reports expire, or when the request is cleared. Reports have to survive the process, see {@link CrashReportLedger}.
 */
public final class CrashHistory {
    /** Number of crashes at which a request is blocked. */
    public static final int CRASHES_TO_BLOCK = 2;

    private static final int SHARDS = 16;

    /** Requests with reports. One crash of a target makes a suspect of each request that it was running. */
    static final int MAX_REQUESTS = 8_000;

    /** The latest reports of a request, which decide how long it stays blocked. */
    private static final int MAX_REPORTS_PER_REQUEST = 8;

    private static final int MAX_REQUESTS_PER_SHARD = MAX_REQUESTS / SHARDS;

    private final TimeSource time;
    private final AtomicInteger suspects = new AtomicInteger();

    /** The reports by fingerprint, in the order of the first report of each. */
    private final Shards<SequencedMap<String, List<CrashReport>>> reports = Shards.create(SHARDS, LinkedHashMap::new);

    /** Creates an empty history. */
    public CrashHistory(TimeSource time) {
        this.time = time;
    }

    /** Returns whether there is no report for any request. Expired reports count until they are removed. */
    public boolean isEmpty() {
        return suspects.get() == 0;
    }

    /**
     * Adds a report of any daemon. Returns false if it has expired, is dated in the future, or if a report of the same crash is
     * present.
     */
    public boolean add(CrashReport report) {
        return reports.withShardOf(report.fingerprint(), shard -> {
            long now = time.epochMillis();
            if (report.isExpired(now) || report.isImplausible(now)) {
                return false;
            }
            List<CrashReport> recorded = shard.get(report.fingerprint());
            if (recorded == null) {
                makeRoom(shard);
                recorded = new ArrayList<>();
                shard.putLast(report.fingerprint(), recorded);
                suspects.incrementAndGet();
            }
            recorded.removeIf(other -> other.isExpired(now));
            for (CrashReport other : recorded) {
                if (other.isSameCrash(report)) {
                    return false;
                }
            }
            if (recorded.size() == MAX_REPORTS_PER_REQUEST) {
                recorded.removeFirst();
            }
            return recorded.add(report);
        });
    }

    private void makeRoom(SequencedMap<String, List<CrashReport>> shard) {
        if (shard.size() < MAX_REQUESTS_PER_SHARD) {
            return;
        }
        String dispensable = shard.firstEntry().getKey();
        for (String fingerprint : shard.keySet()) {
            if (shard.get(fingerprint).size() < CRASHES_TO_BLOCK) {
                dispensable = fingerprint;
                break;
            }
        }
        remove(shard, dispensable);
    }

    /** Removes the reports for a request that has been answered. Returns whether there were any. */
    public boolean clear(String fingerprint) {
        return reports.withShardOf(fingerprint, shard -> remove(shard, fingerprint));
    }

    /** Returns the status of the request with {@code fingerprint}, and removes its expired reports. */
    public CrashStatus statusOf(String fingerprint) {
        return reports.withShardOf(fingerprint, shard -> {
            List<CrashReport> recorded = shard.get(fingerprint);
            if (recorded == null) {
                return CrashStatus.CLEAR;
            }
            long now = time.epochMillis();
            recorded.removeIf(report -> report.isExpired(now));
            if (recorded.isEmpty()) {
                remove(shard, fingerprint);
                return CrashStatus.CLEAR;
            }
            return recorded.size() >= CRASHES_TO_BLOCK ? CrashStatus.BLOCKED : CrashStatus.SUSPECT;
        });
    }

    /** Removes all expired reports, in O(reports). */
    public void removeExpired() {
        long now = time.epochMillis();
        reports.forEach(shard -> {
            Iterator<List<CrashReport>> remaining = shard.values().iterator();
            while (remaining.hasNext()) {
                List<CrashReport> recorded = remaining.next();
                recorded.removeIf(report -> report.isExpired(now));
                if (recorded.isEmpty()) {
                    remaining.remove();
                    suspects.decrementAndGet();
                }
            }
        });
    }

    private boolean remove(SequencedMap<String, List<CrashReport>> shard, String fingerprint) {
        if (shard.remove(fingerprint) == null) {
            return false;
        }
        suspects.decrementAndGet();
        return true;
    }
}
