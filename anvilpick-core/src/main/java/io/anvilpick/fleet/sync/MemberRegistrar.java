package io.anvilpick.fleet.sync;

import io.anvilpick.fleet.EntryMember;
import io.anvilpick.fleet.FleetState;
import io.anvilpick.fleet.FleetStore;
import io.anvilpick.fleet.RelayLog;
import io.anvilpick.platform.PlatformException;
import java.time.Duration;
import org.jboss.logging.Logger;

/**
 * Keeps this daemon registered while it takes callers. Thread safe: {@link #step} and {@link #leave} exclude each other.
 *
 * <p>The registration is under a lease, so that a daemon that dies is forgotten. It is written again when the lease has
 * lapsed or the registration has vanished.
 */
public final class MemberRegistrar {
    private static final Logger LOG = Logger.getLogger(MemberRegistrar.class);
    private static final Duration TIME_TO_LIVE = Duration.ofMillis(5_000);
    private static final Duration RENEW_EVERY = Duration.ofMillis(1_400);

    /** A daemon that others follow renews more often, since the answers tell them that it still reaches the store. */
    private static final Duration RELAY_RENEWS_EVERY = Duration.ofMillis(700);

    private static final Duration PAUSE_AFTER_FAILURE = Duration.ofMillis(700);
    private static final long NO_LEASE = 0;

    private final FleetStore store;
    private final FleetState state;
    private final RelayLog log;
    private final FleetRelays relays;
    private final EntryMember self;
    private long lease = NO_LEASE;
    private boolean registered;
    private boolean left;

    /** Creates a registrar that has registered nothing yet. */
    public MemberRegistrar(FleetStore store, FleetState state, RelayLog log, FleetRelays relays, EntryMember self) {
        this.store = store;
        this.state = state;
        this.log = log;
        this.relays = relays;
        this.self = self;
    }

    /** Registers or renews, and returns how long to pause before the next step. */
    public synchronized Duration step() {
        if (left) {
            return RENEW_EVERY;
        }
        try {
            keep();
            state.noteStoreAnswered();
            if (relays.ownRelay().isPresent()) {
                return RENEW_EVERY;
            }
            log.noteHeard();
            return RELAY_RENEWS_EVERY;
        } catch (PlatformException e) {
            state.noteStoreAway(String.valueOf(e.getMessage()));
            store.abortWaiting();
            return PAUSE_AFTER_FAILURE;
        }
    }

    /** Takes the registration back, so that callers are no longer sent here; it lapses if the store is away. */
    public synchronized void leave() {
        left = true;
        if (lease == NO_LEASE) {
            return;
        }
        try {
            store.endLease(lease);
        } catch (PlatformException e) {
            LOG.warnf("event=leave_not_told reason=\"%s\" lapses_after_ms=%d", e.getMessage(), TIME_TO_LIVE.toMillis());
        }
    }

    private void keep() throws PlatformException {
        if (lease != NO_LEASE && !store.renewLease(lease)) {
            LOG.warnf("event=lease_lapsed lease=%d", lease);
            lease = NO_LEASE;
        }
        if (lease == NO_LEASE) {
            lease = store.grantLease(TIME_TO_LIVE);
            registered = false;
        }
        boolean vanished = registered && !state.view().members().contains(self);
        if (registered && !vanished) {
            return;
        }
        registered = store.register(self, lease);
        if (!registered) {
            lease = NO_LEASE;
        }
        LOG.infof(
                "event=member_registered name=%s lease=%d vanished=%b done=%b",
                self.name(), lease, vanished, registered);
    }
}
