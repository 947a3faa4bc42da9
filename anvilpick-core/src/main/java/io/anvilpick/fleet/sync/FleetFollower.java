package io.anvilpick.fleet.sync;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Iterables;
import io.anvilpick.fleet.EntryMember;
import io.anvilpick.fleet.FleetChange;
import io.anvilpick.fleet.FleetDecoder;
import io.anvilpick.fleet.FleetState;
import io.anvilpick.fleet.FleetStore;
import io.anvilpick.fleet.FleetUpdate;
import io.anvilpick.fleet.RelayLog;
import io.anvilpick.fleet.RelayedUpdate;
import io.anvilpick.fleet.StoreRevision;
import io.anvilpick.fleet.StoredItem;
import io.anvilpick.fleet.ViewFreshness;
import io.anvilpick.fleet.WatchTimes;
import io.anvilpick.platform.PlatformException;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SequencedMap;
import org.jboss.logging.Logger;

/**
 * Follows the store, directly or through a relay, which is another daemon, and applies the updates to {@link FleetState}. Not
 * thread safe: one thread calls {@link #step} in a loop and pauses between calls for the time that it returns.
 *
 * <p>A relay is skipped for a while if it does not answer, and not followed while the store has not answered it recently. While the
 * store does not answer this daemon, each step queries another daemon. It queries the same one until that fails, and then the next
 * one. As long as that returns current content, or a relay is assigned that calls the store as well, this daemon calls the store
 * rarely: failed calls have a price too.
 */
public final class FleetFollower {
    /** Wait for changes in a call after a failure. A short call shows soon whether the store is available again. */
    private static final Duration WAIT_AFTER_FAILURE = Duration.ofMillis(1);

    private static final Duration INITIAL_PAUSE_AFTER_FAILURE = Duration.ofMillis(150);
    private static final Duration MAX_PAUSE_AFTER_FAILURE = Duration.ofMillis(600);

    /** Time for which a relay is skipped after a failure. */
    private static final Duration RELAY_SKIP_TIME = Duration.ofMillis(1_500);

    /** Time for which the store is not called after a failure while another daemon returns current content or also calls it. */
    private static final Duration STORE_SKIP_TIME = Duration.ofMillis(1_500);

    private static final Logger LOG = Logger.getLogger(FleetFollower.class);

    private final FleetStore store;
    private final FleetDecoder decoder;
    private final FleetState state;
    private final RelayLog log;
    private final FleetRelays relays;
    private final ViewFreshness freshness;
    private final WatchTimes times;
    private final TimeSource time;
    private boolean following;
    private StoreRevision revision = StoreRevision.NONE;
    private Duration wait;
    private Duration pauseAfterFailure = INITIAL_PAUSE_AFTER_FAILURE;
    private Deadline relaySkipEnd;
    private Deadline storeSkipEnd;
    private String source = "none";
    private int otherDaemonIndex;

    private FleetFollower(Parts parts) {
        this.store = parts.store();
        this.decoder = parts.decoder();
        this.state = parts.state();
        this.log = parts.log();
        this.relays = parts.relays();
        this.freshness = parts.freshness();
        this.times = parts.times();
        this.wait = times.maxWait();
        this.time = parts.time();
        this.relaySkipEnd = Deadline.after(time, Duration.ZERO);
        this.storeSkipEnd = relaySkipEnd;
    }

    /**
     * The collaborators of a follower.
     *
     * @param log receives what was read, for daemons that follow the store through this one
     * @param freshness receives how current that is
     */
    public record Parts(
            FleetStore store,
            FleetDecoder decoder,
            FleetState state,
            RelayLog log,
            FleetRelays relays,
            ViewFreshness freshness,
            WatchTimes times,
            TimeSource time) {}

    /** Returns a follower that has read nothing yet. */
    public static FleetFollower of(Parts parts) {
        return new FleetFollower(parts);
    }

    /**
     * Reads the store or waits for its changes once, and returns the pause before the next step. After an unchecked exception or
     * an error, which may have left changes applied in part, the next step reads the whole store.
     */
    public Duration step() throws InterruptedException {
        try {
            return follow();
        } catch (RuntimeException | Error e) {
            following = false;
            relaySkipEnd = Deadline.after(time, RELAY_SKIP_TIME);
            throw e;
        }
    }

    private Duration follow() throws InterruptedException {
        freshness.recordReadStart();
        Optional<EntryMember> relay = relays.assignedRelay();
        if (relay.isPresent() && relaySkipEnd.hasPassed(time) && followRelay(relay.get())) {
            return WatchTimes.RELAY_POLL_INTERVAL;
        }
        if (!storeSkipEnd.hasPassed(time) && (queryOtherDaemon() || relay.isPresent())) {
            return WatchTimes.RELAY_POLL_INTERVAL;
        }
        return followStore(relay.isPresent());
    }

    /** Applies the update of the relay and returns whether it is current. A relay that does not answer is skipped for a while. */
    private boolean followRelay(EntryMember relay) throws InterruptedException {
        Optional<RelayedUpdate> relayed = relays.fetchUpdate(relay, revision);
        if (relayed.isEmpty()) {
            relaySkipEnd = Deadline.after(time, RELAY_SKIP_TIME);
            return false;
        }
        if (!isUsable(relayed.get())) {
            return false;
        }
        apply(relayed.get());
        recordSource(relay.name());
        return true;
    }

    /**
     * Reads the store or waits for its changes.
     *
     * @param hasRelay whether another daemon also tries, so that this one may call a store that does not answer rarely
     */
    private Duration followStore(boolean hasRelay) throws InterruptedException {
        try {
            FleetStore.Freshness wanted = revision.equals(StoreRevision.NONE)
                    ? FleetStore.Freshness.MAY_BE_STALE
                    : FleetStore.Freshness.LATEST;
            FleetUpdate update = following ? awaitChanges() : store.readAll(wanted);
            requireNoEarlierEra(update);
            state.onStoreAnswered();
            pauseAfterFailure = INITIAL_PAUSE_AFTER_FAILURE;
            recordSource("store");
            Duration pause = apply(new RelayedUpdate(update, Duration.ZERO));
            wait = times.maxWait().minus(pause);
            return pause;
        } catch (PlatformException e) {
            state.onStoreUnavailable(String.valueOf(e.getMessage()));
            wait = WAIT_AFTER_FAILURE;
            Duration pause = nextPauseAfterFailure();
            boolean isSupplied = queryOtherDaemon();
            if (isSupplied || hasRelay) {
                storeSkipEnd = Deadline.after(time, STORE_SKIP_TIME);
            }
            return isSupplied ? WatchTimes.RELAY_POLL_INTERVAL : pause;
        }
    }

    /** Returns whether an update of a relay is current and neither of an earlier era nor, without the full state, of a later one. */
    private boolean isUsable(RelayedUpdate relayed) {
        if (relayed.age().compareTo(times.maxRelayAge()) > 0) {
            return false;
        }
        return switch (relayed.update()) {
            case FleetUpdate.FullState full -> full.revision().era() >= revision.era();
            case FleetUpdate.Changes changes -> changes.revision().era() == revision.era();
            case FleetUpdate.HistoryLost ignored -> false;
        };
    }

    /** Refuses a late response. This daemon may have read the present era through a relay, unknown to its client of the store. */
    private void requireNoEarlierEra(FleetUpdate update) throws PlatformException {
        long era =
                switch (update) {
                    case FleetUpdate.FullState full -> full.revision().era();
                    case FleetUpdate.Changes changes -> changes.revision().era();
                    case FleetUpdate.HistoryLost ignored -> revision.era();
                };
        if (era < revision.era()) {
            throw new PlatformException(
                    PlatformException.Effect.NONE, "response of era " + era + " after era " + revision.era());
        }
    }

    private FleetUpdate awaitChanges() throws PlatformException {
        freshness.recordWatchStart(wait.plus(times.overdueMargin()));
        try {
            return store.awaitChanges(revision, wait);
        } finally {
            freshness.recordWatchEnd();
        }
    }

    private Duration nextPauseAfterFailure() {
        Duration pause = pauseAfterFailure;
        Duration doubled = pause.multipliedBy(2);
        pauseAfterFailure = doubled.compareTo(MAX_PAUSE_AFTER_FAILURE) > 0 ? MAX_PAUSE_AFTER_FAILURE : doubled;
        return pause;
    }

    /**
     * Queries one of the other daemons and returns whether its content is current. The store may answer that daemon although it does
     * not answer this one.
     */
    private boolean queryOtherDaemon() throws InterruptedException {
        ImmutableList<EntryMember> daemons = relays.otherDaemons();
        if (daemons.isEmpty()) {
            return false;
        }
        EntryMember daemon = daemons.get(otherDaemonIndex % daemons.size());
        Optional<RelayedUpdate> relayed = relays.fetchUpdate(daemon, revision);
        if (relayed.isEmpty() || !isUsable(relayed.get())) {
            otherDaemonIndex = (otherDaemonIndex + 1) % daemons.size();
            return false;
        }
        apply(relayed.get());
        recordSource(daemon.name());
        return true;
    }

    private void recordSource(String name) {
        if (!name.equals(source)) {
            LOG.infof(
                    "event=source_changed from=%s to=%s era=%d revision=%d",
                    source, name, revision.era(), revision.number());
            source = name;
        }
    }

    private Duration apply(RelayedUpdate relayed) {
        return switch (relayed.update()) {
            case FleetUpdate.FullState full -> {
                decoder.retainOnly(full.items());
                Map<StoredItem, ImmutableList<FleetChange>> items = decodeAll(full.items());
                state.onEra(full.revision().era());
                state.replaceAll(Iterables.concat(items.values()));
                log.replaceAll(items, full.revision(), relayed.age());
                revision = full.revision();
                freshness.recordRead(revision, relayed.age());
                following = true;
                yield Duration.ZERO;
            }
            case FleetUpdate.Changes changes when changes.revision().era() != revision.era() -> readEverythingNext();
            case FleetUpdate.Changes changes -> {
                Map<StoredItem, ImmutableList<FleetChange>> items = decodeAll(changes.items());
                state.apply(Iterables.concat(items.values()));
                log.add(items, changes.revision(), relayed.age());
                revision = StoreRevision.laterOf(revision, changes.revision());
                freshness.recordRead(revision, relayed.age());
                yield items.isEmpty() ? Duration.ZERO : times.pauseAfterChanges();
            }
            case FleetUpdate.HistoryLost ignored -> readEverythingNext();
        };
    }

    private Duration readEverythingNext() {
        LOG.infof("event=history_lost era=%d revision=%d store_era=%d", revision.era(), revision.number(), store.era());
        following = false;
        return Duration.ZERO;
    }

    /** Decodes the latest version of each item, in the order of the store. Earlier versions, which may be large, are skipped. */
    private Map<StoredItem, ImmutableList<FleetChange>> decodeAll(ImmutableList<StoredItem> items) {
        SequencedMap<String, StoredItem> latest = new LinkedHashMap<>();
        items.forEach(item -> latest.putLast(item.key(), item));
        ImmutableMap.Builder<StoredItem, ImmutableList<FleetChange>> decoded = ImmutableMap.builder();
        latest.values().forEach(item -> decoded.put(item, decoder.decode(item)));
        return decoded.buildOrThrow();
    }
}
