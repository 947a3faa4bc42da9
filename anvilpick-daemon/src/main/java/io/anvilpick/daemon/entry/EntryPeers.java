package io.anvilpick.daemon.entry;

import com.google.common.net.HostAndPort;
import io.anvilpick.crashes.CrashHistory;
import io.anvilpick.crashes.CrashReport;
import io.anvilpick.fleet.EntryMember;
import io.anvilpick.fleet.FleetView;
import io.anvilpick.fleet.RelayLog;
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

/** What entry daemons tell each other: what they have read of the store, and which requests crash targets. Thread safe. */
final class EntryPeers implements PeerHandler {
    private static final Logger LOG = Logger.getLogger(EntryPeers.class);

    /** Time for another daemon to take in the word of a crash; it is not told again. */
    private static final Duration TELL_TIME = Duration.ofSeconds(1);

    private final PeerTransport peers;
    private final Supplier<FleetView> view;
    private final EntryMember self;
    private final RelayLog log;
    private final CrashHistory crashes;
    private final TimeSource time;

    EntryPeers(Parts parts) {
        this.peers = parts.peers();
        this.view = parts.view();
        this.self = parts.self();
        this.log = parts.log();
        this.crashes = parts.crashes();
        this.time = parts.time();
    }

    /**
     * What the word between daemons comes from and goes to.
     *
     * @param log what this daemon has read of the store
     * @param crashes the crashes that this daemon knows
     */
    record Parts(
            PeerTransport peers,
            Supplier<FleetView> view,
            EntryMember self,
            RelayLog log,
            CrashHistory crashes,
            TimeSource time) {}

    @Override
    public PeerReply handle(PeerRequest request) {
        return switch (request) {
            case StoreUpdateRequest follow ->
                log.updateAfter(follow.after())
                        .<PeerReply>map(PeerReply.StoreUpdate::new)
                        .orElseGet(() -> new PeerReply.Rejected("follow: nothing has been read yet"));
            case CrashReportRequest crash -> {
                boolean news = crashes.add(crash.report());
                LOG.infof("event=crash_heard target=%s news=%b", crash.report().target(), news);
                yield new PeerReply.Acknowledged();
            }
            default -> new PeerReply.Rejected("request: entry daemons do not serve it");
        };
    }

    /** Tells the other daemons of a crash; one that does not answer misses it. */
    void tell(CrashReport report) {
        Deadline deadline = Deadline.after(time, TELL_TIME);
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

    /** Returns where this daemon listens for the others. */
    InetSocketAddress address() {
        HostAndPort address = HostAndPort.fromString(self.peerAddress());
        return new InetSocketAddress(address.getHost(), address.getPort());
    }
}
