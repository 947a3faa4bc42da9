package io.anvilpick.daemon.entry;

import com.google.common.net.HostAndPort;
import io.anvilpick.allowances.AllowanceGrantor;
import io.anvilpick.crashes.CrashHistory;
import io.anvilpick.crashes.CrashReport;
import io.anvilpick.crashes.CrashReportLedger;
import io.anvilpick.fleet.EntryMember;
import io.anvilpick.fleet.FleetView;
import io.anvilpick.fleet.RelayLog;
import io.anvilpick.messages.AllowanceRequest;
import io.anvilpick.messages.CrashReportRequest;
import io.anvilpick.messages.PeerHandler;
import io.anvilpick.messages.PeerReply;
import io.anvilpick.messages.PeerRequest;
import io.anvilpick.messages.PeerTransport;
import io.anvilpick.messages.StoreUpdateRequest;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.function.Supplier;
import org.jboss.logging.Logger;

/**
 * Serves updates read from the store and tokens of tenants to the other entry daemons, and exchanges crash reports with them. Thread
 * safe.
 */
final class EntryPeers implements PeerHandler {
    private static final Logger LOG = Logger.getLogger(EntryPeers.class);

    /** Time for another daemon to acknowledge a crash report. One that does not gets the report from the store. */
    private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(1);

    private final PeerTransport peers;
    private final Supplier<FleetView> view;
    private final EntryMember self;
    private final RelayLog log;
    private final CrashHistory crashes;
    private final CrashReportLedger crashReports;
    private final AllowanceGrantor allowances;
    private final TimeSource time;

    EntryPeers(Parts parts) {
        this.peers = parts.peers();
        this.view = parts.view();
        this.self = parts.self();
        this.log = parts.log();
        this.crashes = parts.crashes();
        this.crashReports = parts.crashReports();
        this.allowances = parts.allowances();
        this.time = parts.time();
    }

    /**
     * The collaborators of {@link EntryPeers}.
     *
     * @param peers sends messages to other daemons
     * @param view the current view, with the members to send to
     * @param log the items that this daemon has read from the store
     * @param crashes the crashes recorded in this daemon
     * @param crashReports receives the reports that are new to this daemon, to be written to the store
     * @param allowances grants tokens of tenants to other daemons
     */
    record Parts(
            PeerTransport peers,
            Supplier<FleetView> view,
            EntryMember self,
            RelayLog log,
            CrashHistory crashes,
            CrashReportLedger crashReports,
            AllowanceGrantor allowances,
            TimeSource time) {}

    @Override
    public PeerReply handle(PeerRequest request) {
        return switch (request) {
            case StoreUpdateRequest update ->
                log.updateAfter(update.after())
                        .<PeerReply>map(PeerReply.StoreUpdate::new)
                        .orElseGet(() -> new PeerReply.Rejected("follow: nothing has been read yet"));
            case CrashReportRequest crash -> {
                boolean isNew = crashes.add(crash.report());
                if (isNew) {
                    crashReports.recordReport(crash.report());
                }
                LOG.infof("event=crash_heard target=%s news=%b", crash.report().target(), isNew);
                yield new PeerReply.Acknowledged();
            }
            case AllowanceRequest allowance -> allowances.grant(allowance);
            default -> new PeerReply.Rejected("request: entry daemons do not serve it");
        };
    }

    /**
     * Sends a new crash report to the other daemons, and has it written to the store. A failure to send is logged, and the report is
     * not sent again.
     */
    void reportCrash(CrashReport report) {
        crashReports.recordReport(report);
        Deadline deadline = Deadline.after(time, REPORT_TIMEOUT);
        for (EntryMember member : view.get().members()) {
            if (!member.name().equals(self.name())) {
                peers.send(member.peerAddress(), new CrashReportRequest(report), deadline)
                        .exceptionally(failure -> {
                            LOG.warnf("event=crash_not_told name=%s reason=\"%s\"", member.name(), failure);
                            return new PeerReply.Rejected("not told");
                        });
            }
        }
    }

    /** Returns the address on which this daemon listens for other daemons. */
    InetSocketAddress listenAddress() {
        HostAndPort address = HostAndPort.fromString(self.peerAddress());
        return new InetSocketAddress(address.getHost(), address.getPort());
    }
}
