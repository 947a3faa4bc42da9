package io.anvilpick.platform;

import io.anvilpick.time.Deadline;
import java.util.List;
import java.util.Optional;

/**
 * The platform's key-value service and list of VMs.
 *
 * <p>Methods block the calling thread until the platform answers, the call fails, or the timeout of the implementation
 * passes. Implementations are thread safe. Every call counts against the rate limits of the platform. A blocked
 * {@link #awaitChange} counts as one call.
 */
public interface Platform {
    /** The expected revision of a key that must be absent. */
    long ABSENT = 0;

    /** The lease number for keys that outlive their writer. */
    long NO_LEASE = 0;

    /** Returns the entry under {@code key}, if any. */
    Optional<Entry> read(String key) throws PlatformException;

    /** Returns all entries whose key starts with {@code prefix}. */
    List<Entry> list(String prefix) throws PlatformException;

    /**
     * Waits until the revision of {@code key} exceeds {@code afterRevision} and returns its entry, or empty if the
     * deadline passes first.
     */
    Optional<Entry> awaitChange(String key, long afterRevision, Deadline deadline) throws PlatformException;

    /**
     * Writes {@code value} if the revision of the key is {@code expectedRevision}.
     *
     * @param lease lease to which the key is attached, or {@link #NO_LEASE}
     * @throws PlatformException with {@link PlatformException.Effect#UNKNOWN} if the write may have taken effect
     */
    WriteResult compareAndSet(String key, long expectedRevision, String value, long lease) throws PlatformException;

    /** Grants a lease that lapses unless it is renewed within {@code ttlMillis}, and returns its number. */
    long grantLease(long ttlMillis) throws PlatformException;

    /** Renews {@code lease} and returns whether it was still valid. */
    boolean renewLease(long lease) throws PlatformException;

    /** Returns the platform's list of VMs, which lags behind their actual state. */
    List<Vm> vms() throws PlatformException;
}
