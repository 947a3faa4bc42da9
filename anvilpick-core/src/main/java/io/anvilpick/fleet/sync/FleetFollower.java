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
import io.anvilpick.fleet.StoredItem;
import io.anvilpick.platform.PlatformException;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.jboss.logging.Logger;

/**
 * Follows the store, itself or through another daemon, and tells {@link FleetState} what it brings. Not thread safe: one thread
 * calls {@link #step} again and again and pauses in between for as long as it says.
 *
 * <p>The daemon that it follows through is passed over for a while if it does not answer or has itself heard nothing of the
 * store lately. A daemon that the store does not answer asks the other daemons one after the other.
 */
public final class FleetFollower {
    /** Time for which one call waits for changes. */
    public static final Duration LONGEST_WAIT = Duration.ofSeconds(8);

    /** Wait of a daemon that follows the store itself only until its relay answers again. */
    private static final Duration WAIT_WITHOUT_RELAY = Duration.ofSeconds(1);

    /** Pause after changes, so that many changes in a row cost few calls. */
    private static final Duration PAUSE_AFTER_CHANGES = Duration.ofMillis(400);

    /** Wait after a failure, short so that it is soon known whether the store answers again. */
    private static final Duration WAIT_AFTER_FAILURE = Duration.ofMillis(1);

    private static final Duration FIRST_PAUSE_AFTER_FAILURE = Duration.ofMillis(150);
    private static final Duration LONGEST_PAUSE_AFTER_FAILURE = Duration.ofMillis(600);

    /** Time between questions to a relay. */
    private static final Duration ASK_RELAY_EVERY = Duration.ofMillis(250);

    /** Longest time since a relay heard from the store, within which it is followed. */
    private static final Duration MOST_RELAY_AGE = Duration.ofMillis(1_200);

    /** Time for which a relay that failed is passed over. */
    private static final Duration RELAY_PASSED_OVER = Duration.ofMillis(1_500);

    private static final Logger LOG = Logger.getLogger(FleetFollower.class);
    private static final long NOTHING_READ = -1;

    private final FleetStore store;
    private final FleetDecoder decoder;
    private final FleetState state;
    private final RelayLog log;
    private final FleetRelays relays;
    private final TimeSource time;
    private boolean following;
    private long revision = NOTHING_READ;
    private Duration wait = LONGEST_WAIT;
    private Duration pauseAfterFailure = FIRST_PAUSE_AFTER_FAILURE;
    private Deadline relayPassedOver;
    private String source = "none";
    private int nextOther;

    private FleetFollower(Parts parts) {
        this.store = parts.store();
        this.decoder = parts.decoder();
        this.state = parts.state();
        this.log = parts.log();
        this.relays = parts.relays();
        this.time = parts.time();
        this.relayPassedOver = Deadline.after(time, Duration.ZERO);
    }

    /**
     * What a follower works with.
     *
     * @param log takes what was read, for daemons that follow this one
     */
    public record Parts(
            FleetStore store,
            FleetDecoder decoder,
            FleetState state,
            RelayLog log,
            FleetRelays relays,
            TimeSource time) {}

    /** Returns a follower that has read nothing yet. */
    public static FleetFollower of(Parts parts) {
        return new FleetFollower(parts);
    }

    /** Reads or waits once, and returns how long to pause before the next step. */
    public Duration step() throws InterruptedException {
        Optional<EntryMember> relay = relays.ownRelay();
        if (relay.isPresent() && relayPassedOver.hasPassed(time)) {
            if (askRelay(relay.get())) {
                return ASK_RELAY_EVERY;
            }
            relayPassedOver = Deadline.after(time, RELAY_PASSED_OVER);
        }
        return askStore(relay.isPresent());
    }

    private boolean askRelay(EntryMember relay) throws InterruptedException {
        Optional<RelayedUpdate> relayed = relays.ask(relay, revision);
        if (relayed.isEmpty() || relayed.get().age().compareTo(MOST_RELAY_AGE) > 0) {
            return false;
        }
        take(relayed.get());
        noteSource(relay.name());
        return true;
    }

    private Duration askStore(boolean onlyForNow) throws InterruptedException {
        Duration longest = onlyForNow && wait.equals(LONGEST_WAIT) ? WAIT_WITHOUT_RELAY : wait;
        try {
            FleetStore.Freshness freshness =
                    revision == NOTHING_READ ? FleetStore.Freshness.MAY_BE_STALE : FleetStore.Freshness.LATEST;
            FleetUpdate update = following ? store.awaitChanges(revision, longest) : store.readAll(freshness);
            state.noteStoreAnswered();
            wait = LONGEST_WAIT;
            pauseAfterFailure = FIRST_PAUSE_AFTER_FAILURE;
            noteSource("store");
            return take(new RelayedUpdate(update, Duration.ZERO));
        } catch (PlatformException e) {
            state.noteStoreAway(String.valueOf(e.getMessage()));
            wait = WAIT_AFTER_FAILURE;
            askAnother();
            return nextPauseAfterFailure();
        }
    }

    private Duration nextPauseAfterFailure() {
        Duration pause = pauseAfterFailure;
        Duration doubled = pause.multipliedBy(2);
        pauseAfterFailure = doubled.compareTo(LONGEST_PAUSE_AFTER_FAILURE) > 0 ? LONGEST_PAUSE_AFTER_FAILURE : doubled;
        return pause;
    }

    /** Asks the next of the other daemons, which may be served by the store although this one is not. */
    private void askAnother() throws InterruptedException {
        ImmutableList<EntryMember> others = relays.others();
        if (others.isEmpty()) {
            return;
        }
        EntryMember other = others.get(nextOther % others.size());
        Optional<RelayedUpdate> relayed = relays.ask(other, revision);
        if (relayed.isEmpty() || relayed.get().age().compareTo(MOST_RELAY_AGE) > 0) {
            nextOther = (nextOther + 1) % others.size();
            return;
        }
        take(relayed.get());
        noteSource(other.name());
    }

    private void noteSource(String name) {
        if (!name.equals(source)) {
            LOG.infof("event=source_changed from=%s to=%s revision=%d", source, name, revision);
            source = name;
        }
    }

    private Duration take(RelayedUpdate relayed) {
        return switch (relayed.update()) {
            case FleetUpdate.FullState full -> {
                Map<StoredItem, ImmutableList<FleetChange>> items = decoded(full.items());
                state.replaceAll(Iterables.concat(items.values()));
                log.replaceAll(items, full.revision(), relayed.age());
                revision = full.revision();
                following = true;
                yield Duration.ZERO;
            }
            case FleetUpdate.Changes changes -> {
                Map<StoredItem, ImmutableList<FleetChange>> items = decoded(changes.items());
                state.apply(Iterables.concat(items.values()));
                log.add(items, changes.revision(), relayed.age());
                revision = Math.max(revision, changes.revision());
                yield items.isEmpty() ? Duration.ZERO : PAUSE_AFTER_CHANGES;
            }
            case FleetUpdate.HistoryLost ignored -> {
                following = false;
                yield Duration.ZERO;
            }
        };
    }

    private Map<StoredItem, ImmutableList<FleetChange>> decoded(ImmutableList<StoredItem> items) {
        ImmutableMap.Builder<StoredItem, ImmutableList<FleetChange>> decoded = ImmutableMap.builder();
        items.forEach(item -> decoded.put(item, decoder.decode(item)));
        return decoded.buildKeepingLast();
    }
}
