package io.anvilpick.fleet;

import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import org.jboss.logging.Logger;

/**
 * How current the content is by which this daemon serves, for metrics and log lines. Thread safe; guarded by one lock.
 *
 * <p>Only reads count: the store may answer other calls while the response of a watch never arrives.
 */
public final class ViewFreshness {
    private static final Logger LOG = Logger.getLogger(ViewFreshness.class);

    private final ReentrantLock lock = new ReentrantLock();
    private final TimeSource time;
    private final Duration maxAge;
    private Optional<Deadline> overdueAt = Optional.empty();
    private boolean overdueReported;
    private boolean oldReported;
    private long overdueWatches;
    private StoreRevision revision = StoreRevision.NONE;
    private long readAtNanos;
    private long readStartNanos;
    private long provenAtNanos;

    /**
     * Creates an instance whose content counts as read now.
     *
     * @param maxAge age beyond which the content counts as old
     */
    public ViewFreshness(TimeSource time, Duration maxAge) {
        this.time = time;
        this.maxAge = maxAge;
        this.readAtNanos = time.nanos();
        this.readStartNanos = readAtNanos;
        this.provenAtNanos = readAtNanos;
    }

    /** Records that a read of the store or of a relay starts, whose end {@link #recordRead} records. */
    public void recordReadStart() {
        lock.lock();
        try {
            readStartNanos = time.nanos();
        } finally {
            lock.unlock();
        }
    }

    /** Records the start of a watch that is overdue after {@code overdueAfter}. */
    public void recordWatchStart(Duration overdueAfter) {
        lock.lock();
        try {
            overdueAt = Optional.of(Deadline.after(time, overdueAfter));
            overdueReported = false;
        } finally {
            lock.unlock();
        }
    }

    /** Records the end of the watch, with or without a response. */
    public void recordWatchEnd() {
        lock.lock();
        try {
            reportOverdueWatch();
            overdueAt = Optional.empty();
        } finally {
            lock.unlock();
        }
    }

    /** Records that the content up to {@code readRevision} was read {@code age} ago. */
    public void recordRead(StoreRevision readRevision, Duration age) {
        lock.lock();
        try {
            revision = laterRead(readRevision);
            readAtNanos = time.nanos() - age.toNanos();
            provenAtNanos = Math.max(provenAtNanos, readStartNanos - age.toNanos());
            reportAge();
        } finally {
            lock.unlock();
        }
    }

    /** Logs a watch that has become overdue, and content that has become old or current again. Each change is logged once. */
    public void check() {
        lock.lock();
        try {
            reportOverdueWatch();
            reportAge();
        } finally {
            lock.unlock();
        }
    }

    /** Returns the time since the store answered a read of this daemon, or of the daemon through which it follows the store. */
    public Duration age() {
        lock.lock();
        try {
            return currentAge();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the maximum age of the content: the time since the last successful read started. It includes the time for which a
     * response waited in a process that was suspended, which {@link #age} does not.
     */
    public Duration provenAge() {
        lock.lock();
        try {
            return Duration.ofNanos(time.nanos() - provenAtNanos);
        } finally {
            lock.unlock();
        }
    }

    /** Returns whether the content is so old that changes which should be in force by now may be missing. */
    public boolean isOld() {
        return age().compareTo(maxAge) > 0;
    }

    /** Returns the revision of the store up to which this daemon has read, in the latest era that it has read. */
    public StoreRevision revision() {
        lock.lock();
        try {
            return revision;
        } finally {
            lock.unlock();
        }
    }

    /** Returns the number of watches that have become overdue since the start, as far as {@link #check} has seen. */
    public long overdueWatches() {
        lock.lock();
        try {
            return overdueWatches;
        } finally {
            lock.unlock();
        }
    }

    private StoreRevision laterRead(StoreRevision readRevision) {
        if (readRevision.era() == revision.era()) {
            return StoreRevision.laterOf(revision, readRevision);
        }
        return readRevision.era() > revision.era() ? readRevision : revision;
    }

    private Duration currentAge() {
        return Duration.ofNanos(time.nanos() - readAtNanos);
    }

    private void reportOverdueWatch() {
        if (overdueReported || overdueAt.isEmpty() || !overdueAt.get().hasPassed(time)) {
            return;
        }
        overdueReported = true;
        overdueWatches++;
        LOG.warnf(
                "event=watch_overdue era=%d revision=%d age_ms=%d",
                revision.era(), revision.number(), currentAge().toMillis());
    }

    private void reportAge() {
        Duration age = currentAge();
        boolean old = age.compareTo(maxAge) > 0;
        if (old == oldReported) {
            return;
        }
        oldReported = old;
        if (old) {
            LOG.warnf("event=view_old era=%d revision=%d age_ms=%d", revision.era(), revision.number(), age.toMillis());
        } else {
            LOG.infof(
                    "event=view_current era=%d revision=%d age_ms=%d",
                    revision.era(), revision.number(), age.toMillis());
        }
    }
}
