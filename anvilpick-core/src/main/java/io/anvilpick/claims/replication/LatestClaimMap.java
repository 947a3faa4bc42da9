package io.anvilpick.claims.replication;

import io.anvilpick.claims.ClaimMap;
import io.anvilpick.claims.ClaimTable;
import java.util.concurrent.locks.ReentrantLock;

/** The claim map as far as this daemon knows it, which only rises. Thread safe. */
public final class LatestClaimMap {
    private final ReentrantLock lock = new ReentrantLock();
    private final ClaimTable table;
    private volatile ClaimMap current = ClaimMap.EMPTY;

    /** Creates a holder of the empty map; {@code table} follows every later one. */
    public LatestClaimMap(ClaimTable table) {
        this.table = table;
    }

    /** Returns the latest map known. */
    public ClaimMap current() {
        return current;
    }

    /** Takes up {@code map} if it is later than the one known; returns whether it is. */
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
