package io.anvilpick.fleet;

import io.anvilpick.platform.PlatformException;
import java.time.Duration;

/**
 * The port to the store in which configuration, targets and daemons are kept for the whole fleet.
 *
 * <p>Calls block the calling thread and throw {@link PlatformException} if the store does not answer. Implementations are thread
 * safe.
 */
public interface FleetStore {
    /** How fresh a read of the whole store has to be. */
    enum Freshness {
        /** Includes everything that was written before the call. */
        LATEST,
        /** May lack the changes of the last seconds and costs the store less. {@link #awaitChanges} returns what is missing. */
        MAY_BE_STALE
    }

    /** Returns all items of the store. */
    FleetUpdate.FullState readAll(Freshness freshness) throws PlatformException;

    /**
     * Waits up to {@code wait} for changes after {@code revision}. A call that is overdue is sent once more on another connection,
     * because its own may have lost its packets without being closed.
     */
    FleetUpdate awaitChanges(long revision, Duration wait) throws PlatformException;

    /** Makes a waiting {@link #awaitChanges} fail at once. Its connection may be dead without having been closed. */
    void abortWaiting();

    /** Grants a lease that lapses unless it is renewed within {@code timeToLive}, and returns its number. */
    long grantLease(Duration timeToLive) throws PlatformException;

    /** Renews a lease and returns whether it was still valid. */
    boolean renewLease(long lease) throws PlatformException;

    /** Ends a lease and removes what was registered under it. */
    void endLease(long lease) throws PlatformException;

    /** Registers {@code member} until {@code lease} ends, and returns whether the lease was still valid. */
    boolean register(EntryMember member, long lease) throws PlatformException;
}
