package io.anvilpick.fleet;

import io.anvilpick.platform.PlatformException;
import java.time.Duration;

/**
 * The port to the store that configuration, targets and daemons share. Calls block the calling thread. Implementations are
 * thread safe.
 */
public interface FleetStore {
    /** How fresh a reading of the whole store has to be. */
    enum Freshness {
        /** All that was written before the call. */
        LATEST,
        /** May lack the last seconds, and costs the store less; {@link #awaitChanges} brings the rest. */
        MAY_BE_STALE
    }

    /** Returns all that the store holds. */
    FleetUpdate.FullState readAll(Freshness freshness) throws PlatformException;

    /** Waits for changes after {@code revision}, {@code wait} at most. */
    FleetUpdate awaitChanges(long revision, Duration wait) throws PlatformException;

    /** Makes a waiting {@link #awaitChanges} fail at once, since its connection may be dead without a word. */
    void abortWaiting();

    /** Grants a lease that lapses unless it is renewed within {@code timeToLive}; returns its number. */
    long grantLease(Duration timeToLive) throws PlatformException;

    /** Renews a lease; returns false if it has lapsed. */
    boolean renewLease(long lease) throws PlatformException;

    /** Ends a lease, and with it what was registered under it. */
    void endLease(long lease) throws PlatformException;

    /** Registers {@code member} for as long as {@code lease} lives; returns false if the lease has lapsed. */
    boolean register(EntryMember member, long lease) throws PlatformException;
}
