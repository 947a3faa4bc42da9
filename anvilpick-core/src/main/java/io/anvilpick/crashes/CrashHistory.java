package io.anvilpick.crashes;

import io.anvilpick.shard.Shards;
import io.anvilpick.time.TimeSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The crashes known to this daemon by the request that ran at the time. Thread safe, in shards by fingerprint.
 *
 * <p>An answer acquits a request, since one that crashes its target never gets one.
 */
public final class CrashHistory {
    /** Crashes from which a request is blocked. */
    public static final int CRASHES_TO_BLOCK = 2;

    private static final int SHARDS = 16;

    private final TimeSource time;
    private final AtomicInteger suspects = new AtomicInteger();
    private final Shards<Map<String, List<CrashReport>>> reports = Shards.create(SHARDS, HashMap::new);

    /** Creates an empty ledger. */
    public CrashHistory(TimeSource time) {
        this.time = time;
    }

    /** Returns whether nothing is held against any request. */
    public boolean isEmpty() {
        return suspects.get() == 0;
    }

    /** Adds a report, from this daemon or another; returns whether it is news. */
    public boolean add(CrashReport report) {
        return reports.withShardOf(report.fingerprint(), shard -> {
            if (report.isExpired(time.epochMillis())) {
                return false;
            }
            List<CrashReport> known = shard.get(report.fingerprint());
            if (known == null) {
                known = new ArrayList<>();
                shard.put(report.fingerprint(), known);
                suspects.incrementAndGet();
            }
            for (CrashReport each : known) {
                if (each.isSameCrash(report)) {
                    return false;
                }
            }
            return known.add(report);
        });
    }

    /** Forgets what is held against a request that has just been answered; returns whether there was anything. */
    public boolean clear(String fingerprint) {
        return reports.withShardOf(fingerprint, shard -> remove(shard, fingerprint));
    }

    /** Returns whether a request may run. */
    public CrashStatus statusOf(String fingerprint) {
        return reports.withShardOf(fingerprint, shard -> {
            List<CrashReport> known = shard.get(fingerprint);
            if (known == null) {
                return CrashStatus.CLEAR;
            }
            long now = time.epochMillis();
            known.removeIf(report -> report.isExpired(now));
            if (known.isEmpty()) {
                remove(shard, fingerprint);
                return CrashStatus.CLEAR;
            }
            return known.size() >= CRASHES_TO_BLOCK ? CrashStatus.BLOCKED : CrashStatus.SUSPECT;
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
