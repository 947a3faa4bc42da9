package io.anvilpick.fleet.sync;

import io.anvilpick.fleet.EntryMember;
import io.anvilpick.fleet.FleetState;
import io.anvilpick.fleet.FleetStore;
import io.anvilpick.fleet.StoreLease;
import io.anvilpick.platform.PlatformException;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.Optional;
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

    /** Time between two comparisons of the era of the lease with that of the store, which call nobody. */
    private static final Duration ERA_CHECK_INTERVAL = Duration.ofMillis(200);

    private final FleetStore store;
    private final FleetState state;
    private final EntryMember self;
    private final TimeSource time;
    private Optional<StoreLease> lease = Optional.empty();
    private boolean registered;
    private boolean everRegistered;
    private boolean left;

    /** Creates a registrar that has registered nothing yet. */
    public MemberRegistrar(FleetStore store, FleetState state, EntryMember self, TimeSource time) {
        this.store = store;
        this.state = state;
        this.self = self;
        this.time = time;
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

    /**
     * Registers this daemon anew if the store has a later era than its lease, and returns the pause before the next call. Until then,
     * daemons that start do not know this one.
     */
    public synchronized Duration checkEra() {
        boolean outdated = lease.isPresent() && lease.get().era() < Math.max(store.era(), state.era());
        return outdated ? step() : ERA_CHECK_INTERVAL;
    }

    /** Removes the registration, after which callers are no longer sent here. If the store is unavailable, it lapses later. */
    public synchronized void leave() {
        left = true;
        if (lease.isEmpty()) {
            return;
        }
        try {
            store.endLease(lease.get());
        } catch (PlatformException e) {
            LOG.warnf("event=leave_not_told reason=\"%s\" lapses_after_ms=%d", e.getMessage(), TIME_TO_LIVE.toMillis());
        }
    }

    private void renewOrRegister() throws PlatformException {
        StoreLease current = validLease();
        boolean vanished = registered && state.view().members().stream().noneMatch(self::isSameDaemon);
        if (registered && !vanished) {
            return;
        }
        registered = store.register(self.registeredAt(registeredMillis()), current);
        everRegistered = everRegistered || registered;
        if (!registered) {
            lease = Optional.empty();
        }
        LOG.infof(
                "event=member_registered name=%s era=%d lease=%d vanished=%b done=%b",
                self.name(), current.era(), current.number(), vanished, registered);
    }

    /**
     * Returns the time of registration to write. A process that starts takes over that of its earlier entry. An entry that is written
     * again was missing from the store for an unknown time, in which others may have ceased to count this daemon.
     */
    private long registeredMillis() {
        long now = time.epochMillis();
        if (everRegistered || state.lapsedMembers().contains(self.name())) {
            return now;
        }
        return state.view().members().stream()
                .filter(each -> self.isSameDaemon(each) && each.registeredMillis() > 0)
                .findFirst()
                .map(EntryMember::registeredMillis)
                .orElse(now);
    }

    /** Renews the lease, or replaces it if it is not valid any more. */
    private StoreLease validLease() throws PlatformException {
        if (lease.isPresent() && store.renewLease(lease.get())) {
            return lease.get();
        }
        lease.ifPresent(lapsed -> LOG.warnf("event=lease_lapsed era=%d lease=%d", lapsed.era(), lapsed.number()));
        lease = Optional.empty();
        registered = false;
        StoreLease granted = store.grantLease(TIME_TO_LIVE);
        lease = Optional.of(granted);
        return granted;
    }
}
