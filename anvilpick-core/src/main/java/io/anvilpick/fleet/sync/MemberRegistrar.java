package io.anvilpick.fleet.sync;

import io.anvilpick.fleet.EntryMember;
import io.anvilpick.fleet.FleetState;
import io.anvilpick.fleet.FleetStore;
import io.anvilpick.platform.PlatformException;
import java.time.Duration;
import org.jboss.logging.Logger;

/**
 * Keeps this daemon registered in the store while it accepts callers. Thread safe: {@link #step} and {@link #leave} exclude each
 * other.
 *
 * <p>The registration is bound to a lease and ends with it if the daemon dies. It is written again if the lease has lapsed or the
 * registration has disappeared.
 */
public final class MemberRegistrar {
    private static final Logger LOG = Logger.getLogger(MemberRegistrar.class);
    private static final Duration TIME_TO_LIVE = Duration.ofMillis(5_000);
    private static final Duration RENEW_INTERVAL = Duration.ofMillis(1_400);

    private static final Duration PAUSE_AFTER_FAILURE = Duration.ofMillis(700);
    private static final long NO_LEASE = 0;

    private final FleetStore store;
    private final FleetState state;
    private final EntryMember self;
    private long lease = NO_LEASE;
    private boolean registered;
    private boolean left;

    /** Creates a registrar that has registered nothing yet. */
    public MemberRegistrar(FleetStore store, FleetState state, EntryMember self) {
        this.store = store;
        this.state = state;
        this.self = self;
    }

    /** Registers this daemon or renews its lease, and returns the pause before the next step. */
    public synchronized Duration step() {
        if (left) {
            return RENEW_INTERVAL;
        }
        try {
            renewOrRegister();
            state.onStoreAnswered();
            return RENEW_INTERVAL;
        } catch (PlatformException e) {
            state.onStoreUnavailable(String.valueOf(e.getMessage()));
            store.abortWaiting();
            return PAUSE_AFTER_FAILURE;
        }
    }

    /** Removes the registration, after which callers are no longer sent here. If the store is unavailable, it lapses later. */
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

    private void renewOrRegister() throws PlatformException {
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
