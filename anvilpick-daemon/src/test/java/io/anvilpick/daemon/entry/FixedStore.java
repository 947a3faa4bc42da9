package io.anvilpick.daemon.entry;

import com.google.common.collect.ImmutableList;
import io.anvilpick.crashes.CrashReportBatch;
import io.anvilpick.fleet.EntryMember;
import io.anvilpick.fleet.FleetStore;
import io.anvilpick.fleet.FleetUpdate;
import io.anvilpick.fleet.StoreLease;
import io.anvilpick.fleet.StoreRevision;
import io.anvilpick.fleet.StoredItem;
import io.anvilpick.platform.PlatformException;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;

/** A store whose first read blocks until the test releases it, and that never changes. */
final class FixedStore implements FleetStore {
    /** Signals that the follower has applied its first read, because it awaits changes only then. */
    final CountDownLatch isFollowed = new CountDownLatch(1);

    private final CountDownLatch released;
    private final CountDownLatch never = new CountDownLatch(1);
    private final StoredItem item;

    /** Creates a store whose first read does not block. */
    FixedStore(StoredItem item) {
        this(item, new CountDownLatch(0));
    }

    /** Creates a store whose first read blocks until {@code released} is counted down. */
    FixedStore(StoredItem item, CountDownLatch released) {
        this.item = item;
        this.released = released;
    }

    private static void await(CountDownLatch latch) throws PlatformException {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new PlatformException(PlatformException.Effect.UNKNOWN, "interrupted");
        }
    }

    @Override
    public FleetUpdate.FullState readAll(Freshness freshness) throws PlatformException {
        await(released);
        return new FleetUpdate.FullState(ImmutableList.of(item), new StoreRevision(0, 1));
    }

    @Override
    public FleetUpdate awaitChanges(StoreRevision revision, Duration wait) throws PlatformException {
        isFollowed.countDown();
        await(never);
        return new FleetUpdate.HistoryLost();
    }

    @Override
    public long era() {
        return 0;
    }

    @Override
    public void abortWaiting() {}

    @Override
    public StoreLease grantLease(Duration timeToLive) {
        return new StoreLease(0, 1);
    }

    @Override
    public boolean renewLease(StoreLease lease) {
        return true;
    }

    @Override
    public void endLease(StoreLease lease) {}

    @Override
    public boolean register(EntryMember member, StoreLease lease) {
        return true;
    }

    @Override
    public boolean writeCrashReports(CrashReportBatch batch, StoreLease lease) {
        return true;
    }
}
