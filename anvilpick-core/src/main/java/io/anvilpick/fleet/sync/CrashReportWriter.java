package io.anvilpick.fleet.sync;

import com.google.common.collect.ImmutableList;
import io.anvilpick.crashes.CrashHistory;
import io.anvilpick.crashes.CrashReport;
import io.anvilpick.crashes.CrashReportBatch;
import io.anvilpick.crashes.CrashReportLedger;
import io.anvilpick.fleet.EntryMember;
import io.anvilpick.fleet.FleetState;
import io.anvilpick.fleet.FleetStore;
import io.anvilpick.fleet.FleetView;
import io.anvilpick.platform.PlatformException;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import org.jboss.logging.Logger;

/**
 * Writes crash reports to the store, where they outlast the daemons. Not thread safe: one thread calls {@link #step} in a loop.
 *
 * <p>All daemons know each report. The daemon whose name sorts first writes it, so that a crash costs few calls to the store. The
 * others follow one after the other for as long as the store does not hold the report.
 */
public final class CrashReportWriter {
    private static final Logger LOG = Logger.getLogger(CrashReportWriter.class);

    /** Time in which the first daemon collects the reports of one crash, which ends many requests at once. */
    static final Duration COLLECTION_TIME = Duration.ofMillis(200);

    /** Time after which the second daemon writes. It is longer than a write takes to reach all daemons. */
    static final Duration SECOND_TURN = Duration.ofSeconds(3);

    static final Duration TURN_INTERVAL = Duration.ofSeconds(1);

    /** The turn at which all further daemons write too. */
    private static final int LAST_TURN = 8;

    private static final Duration MIN_INTERVAL = Duration.ofSeconds(1);

    /** Time between removals of expired reports while there is nothing to write. */
    private static final Duration MAX_WAIT = Duration.ofMinutes(1);

    private static final Duration LEASE_TIME = Duration.ofMillis(CrashReport.RETENTION_MILLIS);

    private final FleetStore store;
    private final FleetState state;
    private final CrashReportLedger ledger;
    private final CrashHistory history;
    private final EntryMember self;
    private final TimeSource time;

    /**
     * Creates a writer for the daemon {@code self}.
     *
     * @param ledger the reports to write
     * @param history the reports whose expiry the writer checks
     */
    public CrashReportWriter(
            FleetStore store,
            FleetState state,
            CrashReportLedger ledger,
            CrashHistory history,
            EntryMember self,
            TimeSource time) {
        this.store = store;
        this.state = state;
        this.ledger = ledger;
        this.history = history;
        this.self = self;
        this.time = time;
    }

    /** Returns the time from which the daemon {@code self} writes a report that becomes known now. */
    public static Deadline turnOf(EntryMember self, FleetView view, TimeSource time) {
        long before = view.members().stream()
                .filter(member -> member.name().compareTo(self.name()) < 0)
                .limit(LAST_TURN)
                .count();
        Duration delay = before == 0 ? COLLECTION_TIME : SECOND_TURN.plus(TURN_INTERVAL.multipliedBy(before - 1));
        return Deadline.after(time, delay);
    }

    /** Waits until reports are due, writes them, and returns the pause before the next step. */
    public Duration step() throws InterruptedException {
        ledger.awaitDue(MAX_WAIT);
        history.removeExpired();
        return writeDue();
    }

    /** Writes the reports that are due, and returns the pause before the next write. */
    Duration writeDue() {
        ImmutableList<CrashReport> due = ledger.takeDue();
        if (due.isEmpty()) {
            return Duration.ZERO;
        }
        if (!ledger.hasRoomFor(due.size())) {
            logNotStored(due, "the store holds as many as it may");
            return MIN_INTERVAL;
        }
        if (!state.isStoreAvailable()) {
            return postpone(due, "the store does not answer");
        }
        CrashReportBatch batch = new CrashReportBatch(self.name() + "/" + time.epochMillis(), due);
        try {
            if (!store.writeCrashReports(batch, store.grantLease(LEASE_TIME))) {
                return postpone(due, "the lease has ended");
            }
        } catch (PlatformException e) {
            return postpone(due, String.valueOf(e.getMessage()));
        }
        ledger.recordBatch(batch);
        LOG.infof("event=crash_reports_stored count=%d batch=%s", due.size(), batch.id());
        return MIN_INTERVAL;
    }

    private Duration postpone(ImmutableList<CrashReport> reports, String reason) {
        logNotStored(reports, reason);
        ledger.recordFailure(reports, turnOf(self, state.view(), time));
        return MIN_INTERVAL;
    }

    private static void logNotStored(ImmutableList<CrashReport> reports, String reason) {
        LOG.warnf("event=crash_reports_not_stored count=%d reason=\"%s\"", reports.size(), reason);
    }
}
