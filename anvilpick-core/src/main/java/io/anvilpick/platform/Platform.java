package io.anvilpick.platform;

import io.anvilpick.time.Deadline;
import java.util.List;
import java.util.Optional;

/**
 * The platform's key-value service and list of VMs.
 *
 * <p>Calls block the calling thread until an answer, a failure, or a timeout of the adapter. Implementations are thread
 * safe. Every call counts against the platform's rates; a waiting {@link #awaitChange} counts as one.
 */
public interface Platform {
    /** The expected revision for a key that must be absent. */
    long ABSENT = 0;

    /** The lease number for keys that outlive their writer. */
    long NO_LEASE = 0;

    /** Returns the entry under {@code key}, if any. */
    Optional<Entry> read(String key) throws PlatformException;

    /** Returns all entries whose key starts with {@code prefix}. */
    List<Entry> list(String prefix) throws PlatformException;

    /** Waits until the revision of {@code key} exceeds {@code afterRevision}; empty when the deadline passes first. */
    Optional<Entry> awaitChange(String key, long afterRevision, Deadline deadline) throws PlatformException;

    /**
     * Writes {@code value} if the key is at {@code expectedRevision}.
     *
     * @throws PlatformException with {@link PlatformException.Effect#UNKNOWN} if the write may have landed
     */
    WriteResult compareAndSet(String key, long expectedRevision, String value, long lease) throws PlatformException;

    /** Grants a lease that lapses unless renewed within {@code ttlMillis}; returns its number. */
    long grantLease(long ttlMillis) throws PlatformException;

    /** Renews {@code lease}; returns false if it has lapsed. */
    boolean renewLease(long lease) throws PlatformException;

    /** Returns the lagging list of VMs. */
    List<Vm> vms() throws PlatformException;
}
