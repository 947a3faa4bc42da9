package io.anvilpick.fleet.sync;

import static io.anvilpick.fleet.FleetSamples.revision;

import com.google.common.collect.ImmutableList;
import io.anvilpick.crashes.CrashReportBatch;
import io.anvilpick.fleet.EntryMember;
import io.anvilpick.fleet.FleetChange;
import io.anvilpick.fleet.FleetDecoder;
import io.anvilpick.fleet.FleetStore;
import io.anvilpick.fleet.FleetUpdate;
import io.anvilpick.fleet.StoreLease;
import io.anvilpick.fleet.StoreRevision;
import io.anvilpick.fleet.StoredItem;
import io.anvilpick.platform.PlatformException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A fake store whose answers are set by the test. */
final class FakeStore implements FleetStore, FleetDecoder {
    final Deque<FleetUpdate> updates = new ArrayDeque<>();
    EntryMember registered = new EntryMember("", "", "", "", "");
    final List<String> calls = new ArrayList<>();
    final List<Duration> waits = new ArrayList<>();
    final List<Long> decodedRevisions = new ArrayList<>();
    private final Map<StoredItem, FleetChange> changesByItem = new HashMap<>();
    ImmutableList<StoredItem> items = ImmutableList.of();
    boolean unavailable;
    boolean leaseValid = true;

    /** The error that {@link #decode} throws for items of this key. */
    private final Map<String, Error> decodingErrors = new HashMap<>();

    private long nextLease = 1;

    /** Returns an item that decodes to {@code change}. */
    StoredItem item(String key, long revision, FleetChange change) {
        StoredItem item = new StoredItem(key, revision(revision), Optional.of(change.toString()));
        changesByItem.put(item, change);
        return item;
    }

    /** Returns a deletion that decodes to {@code change}. */
    StoredItem deletion(String key, long revision, FleetChange change) {
        StoredItem item = new StoredItem(key, revision(revision), Optional.empty());
        changesByItem.put(item, change);
        return item;
    }

    /** Makes the next {@link #decode} of an item with {@code key} throw {@code error}. */
    void failDecodingOnce(String key, Error error) {
        decodingErrors.put(key, error);
    }

    @Override
    public ImmutableList<FleetChange> decode(StoredItem item) {
        Error error = decodingErrors.remove(item.key());
        if (error != null) {
            throw error;
        }
        decodedRevisions.add(item.revision().number());
        FleetChange change = changesByItem.get(item);
        return change == null ? ImmutableList.of() : ImmutableList.of(change);
    }

    private void call(String name) throws PlatformException {
        calls.add(name);
        if (unavailable) {
            throw new PlatformException(PlatformException.Effect.UNKNOWN, "unavailable");
        }
    }

    @Override
    public FleetUpdate.FullState readAll(Freshness freshness) throws PlatformException {
        call(freshness == Freshness.LATEST ? "readLatest" : "readAll");
        return new FleetUpdate.FullState(items, revision(10));
    }

    @Override
    public FleetUpdate awaitChanges(StoreRevision revision, Duration wait) throws PlatformException {
        waits.add(wait);
        call("await " + revision.number());
        FleetUpdate update = updates.poll();
        return update == null ? new FleetUpdate.Changes(ImmutableList.of(), revision) : update;
    }

    @Override
    public long era() {
        return 0;
    }

    @Override
    public void abortWaiting() {
        calls.add("abort");
    }

    @Override
    public StoreLease grantLease(Duration timeToLive) throws PlatformException {
        call("grant");
        leaseValid = true;
        return new StoreLease(0, nextLease++);
    }

    @Override
    public boolean renewLease(StoreLease lease) throws PlatformException {
        call("renew " + lease.number());
        return leaseValid;
    }

    @Override
    public void endLease(StoreLease lease) throws PlatformException {
        call("end " + lease.number());
    }

    @Override
    public boolean register(EntryMember member, StoreLease lease) throws PlatformException {
        call("register " + lease.number());
        registered = member;
        return leaseValid;
    }

    @Override
    public boolean writeCrashReports(CrashReportBatch batch, StoreLease lease) throws PlatformException {
        call("crashes " + lease.number());
        return leaseValid;
    }
}
