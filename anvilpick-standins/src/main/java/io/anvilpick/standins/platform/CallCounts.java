package io.anvilpick.standins.platform;

import java.util.concurrent.atomic.AtomicLong;

/** Counts the calls of each kind and limits the rates of reads and writes. Thread safe. */
final class CallCounts {
    private static final long MILLIS_PER_SECOND = 1_000;

    private final AtomicLong reads = new AtomicLong();
    private final AtomicLong writes = new AtomicLong();
    private final AtomicLong watches = new AtomicLong();
    private final AtomicLong leases = new AtomicLong();
    private final AtomicLong refused = new AtomicLong();
    private long currentSecond;
    private int readsInSecond;
    private int writesInSecond;

    /** The numbers of calls since the start. */
    record Totals(long reads, long writes, long watches, long leases, long refused) {}

    void countRead() {
        reads.incrementAndGet();
    }

    void countWrite() {
        writes.incrementAndGet();
    }

    void countWatch() {
        watches.incrementAndGet();
    }

    void countLease() {
        leases.incrementAndGet();
    }

    void countRefused() {
        refused.incrementAndGet();
    }

    synchronized boolean allowRead(long nowMillis, int perSecond) {
        resetIfNewSecond(nowMillis);
        return readsInSecond++ < perSecond;
    }

    synchronized boolean allowWrite(long nowMillis, int perSecond) {
        resetIfNewSecond(nowMillis);
        return writesInSecond++ < perSecond;
    }

    Totals totals() {
        return new Totals(reads.get(), writes.get(), watches.get(), leases.get(), refused.get());
    }

    private void resetIfNewSecond(long nowMillis) {
        long now = nowMillis / MILLIS_PER_SECOND;
        if (now != currentSecond) {
            currentSecond = now;
            readsInSecond = 0;
            writesInSecond = 0;
        }
    }
}
