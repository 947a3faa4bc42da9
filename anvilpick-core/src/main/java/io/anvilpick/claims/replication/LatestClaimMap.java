package io.anvilpick.claims.replication;

import io.anvilpick.claims.ClaimMap;
import io.anvilpick.claims.ClaimTable;
import java.util.concurrent.locks.ReentrantLock;

/** The latest claim map that this daemon has received. Its version only increases. Thread safe. */
public final class LatestClaimMap {
    private final ReentrantLock lock = new ReentrantLock();
    private final ClaimTable table;
    private volatile ClaimMap current = ClaimMap.EMPTY;

    /** Creates an instance with the empty map. Each later map is applied to {@code table}. */
    public LatestClaimMap(ClaimTable table) {
        this.table = table;
    }

    /** Returns the latest map, which is empty before the first update. */
    public ClaimMap current() {
        return current;
    }

    /** Replaces the current map by {@code map} if that has a later version. Returns whether it was replaced. */
    public boolean updateIfNewer(ClaimMap map) {
        lock.lock();
        try {
            if (map.version() <= current.version()) {
                return false;
            }
            current = map;
            table.apply(map);
            return true;
        } finally {
            lock.unlock();
        }
    }
}
