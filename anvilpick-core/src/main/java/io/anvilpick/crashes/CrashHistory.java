package io.anvilpick.crashes;

import io.anvilpick.shard.Shards;
import io.anvilpick.time.TimeSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The crash reports that this daemon holds, by the request that was running. Thread safe, in shards by fingerprint.
 *
 * <p>The reports of a request can be cleared once it is answered, since a request that crashes its target never is.
 */
public final class CrashHistory {
    /** Number of crashes at which a request is blocked. */
    public static final int CRASHES_TO_BLOCK = 2;

    private static final int SHARDS = 16;

    private final TimeSource time;
    private final AtomicInteger suspects = new AtomicInteger();
    private final Shards<Map<String, List<CrashReport>>> reports = Shards.create(SHARDS, HashMap::new);

    /** Creates an empty history. */
    public CrashHistory(TimeSource time) {
        this.time = time;
    }

    /** Returns whether there is no report for any request. Expired reports count until they are removed. */
    public boolean isEmpty() {
        return suspects.get() == 0;
    }

    /** Adds a report of any daemon. Returns false if it has expired, or if a report of the same crash is present. */
    public boolean add(CrashReport report) {
        return reports.withShardOf(report.fingerprint(), shard -> {
            if (report.isExpired(time.epochMillis())) {
                return false;
            }
            List<CrashReport> recorded = shard.get(report.fingerprint());
            if (recorded == null) {
                recorded = new ArrayList<>();
                shard.put(report.fingerprint(), recorded);
                suspects.incrementAndGet();
            }
            for (CrashReport other : recorded) {
                if (other.isSameCrash(report)) {
                    return false;
                }
            }
            return recorded.add(report);
        });
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

    private boolean remove(Map<String, List<CrashReport>> shard, String fingerprint) {
        if (shard.remove(fingerprint) == null) {
            return false;
        }
        suspects.decrementAndGet();
        return true;
    }
}
