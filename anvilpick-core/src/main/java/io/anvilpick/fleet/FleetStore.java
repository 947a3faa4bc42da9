package io.anvilpick.fleet;

import io.anvilpick.crashes.CrashReportBatch;
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
     * because its own may have lost its packets without being closed. If the store's era is or becomes later than that of {@code revision},
     * the history is lost.
     */
    FleetUpdate awaitChanges(StoreRevision revision, Duration wait) throws PlatformException;

    /** Returns the latest era that a response of the store has stated; 0 if none has. Does not block. */
    long era();

    /** Makes a waiting {@link #awaitChanges} fail at once. Its connection may be dead without having been closed. */
    void abortWaiting();

    /** Grants a lease that lapses unless it is renewed within {@code timeToLive}. */
    StoreLease grantLease(Duration timeToLive) throws PlatformException;

    /** Renews a lease and returns whether it was still valid, which it is not in a later era. */
    boolean renewLease(StoreLease lease) throws PlatformException;

    /** Ends a lease and removes what was registered under it. Has no effect in a later era. */
    void endLease(StoreLease lease) throws PlatformException;

    /** Registers {@code member} until {@code lease} ends, and returns whether the lease was still valid. */
    boolean register(EntryMember member, StoreLease lease) throws PlatformException;

    /** Writes a batch of crash reports that is kept until {@code lease} ends, and returns whether the lease was still valid. */
    boolean writeCrashReports(CrashReportBatch batch, StoreLease lease) throws PlatformException;
}
