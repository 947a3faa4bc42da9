package io.anvilpick.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.anvilpick.allowances.AllowanceGrantor;
import io.anvilpick.allowances.GrantorMembers;
import io.anvilpick.crashes.CrashHistory;
import io.anvilpick.crashes.CrashReport;
import io.anvilpick.crashes.CrashReportLedger;
import io.anvilpick.crashes.CrashStatus;
import io.anvilpick.fleet.EntryMember;
import io.anvilpick.fleet.FleetView;
import io.anvilpick.fleet.RelayLog;
import io.anvilpick.fleet.StoreRevision;
import io.anvilpick.messages.AllowanceRequest;
import io.anvilpick.messages.CrashClearedRequest;
import io.anvilpick.messages.CrashReportRequest;
import io.anvilpick.messages.PeerException;
import io.anvilpick.messages.PeerReply;
import io.anvilpick.messages.PeerRequest;
import io.anvilpick.messages.StoreUpdateRequest;
import io.anvilpick.tenants.Allowance;
import io.anvilpick.tenants.Tenant;
import io.anvilpick.tenants.TenantTable;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class EntryPeersTest {
    private static final EntryMember SELF = new EntryMember("b", "b:80", "b:81", "r", "z");
    private static final EntryMember OTHER = new EntryMember("a", "a:80", "a:81", "r", "z");
    private static final CrashReport REPORT = new CrashReport("print", "t:1", 0);

    private final ManualTimeSource time = ManualTimeSource.startingAt(0);
    private final CrashHistory crashes = new CrashHistory(time);
    private final CrashReportLedger crashReports =
            new CrashReportLedger(time, crashes, () -> Deadline.after(time, Duration.ZERO));
    private final List<String> sent = new ArrayList<>();
    private final GrantorMembers grantors =
            new GrantorMembers(time, SELF.name(), () -> Duration.ZERO, ImmutableSet::of, false);
    private final AllowanceGrantor allowances =
            new AllowanceGrantor(time, SELF.name(), grantors, EntryPeersTest::tenants);
    private final EntryPeers peers = new EntryPeers(new EntryPeers.Parts(
            this::send, EntryPeersTest::view, SELF, new RelayLog(time), crashes, crashReports, allowances, time));

    private static TenantTable tenants() {
        Tenant tenant = new Tenant("t", 0, Optional.of(new Allowance(10, 10)));
        return TenantTable.builder().add(tenant, ImmutableSet.of()).build();
    }

    private static FleetView view() {
        return new FleetView(Optional.empty(), ImmutableMap.of(), ImmutableList.of(SELF, OTHER));
    }

    private CompletableFuture<PeerReply> send(String address, PeerRequest request, Deadline deadline) {
        sent.add(address + " " + request);
        return CompletableFuture.failedFuture(new PeerException("no answer", false));
    }

    @Test
    void reportsACrashToTheOtherDaemonsAndIgnoresFailures() {
        peers.reportCrash(REPORT);
        assertEquals(List.of("a:81 " + new CrashReportRequest(REPORT)), sent);
        assertEquals(List.of(REPORT), crashReports.takeDue());
    }

    /** Guards against a report that is in no store because the daemon that sent it has ended (review case 7). */
    @Test
    void writesTheReportsOfOtherDaemonsToo() {
        peers.handle(new CrashReportRequest(REPORT));
        peers.handle(new CrashReportRequest(REPORT));
        assertEquals(List.of(REPORT), crashReports.takeDue());
        assertEquals(List.of(), crashReports.takeDue());
    }

    @Test
    void countsTheCrashesThatOtherDaemonsReport() {
        assertInstanceOf(PeerReply.Acknowledged.class, peers.handle(new CrashReportRequest(REPORT)));
        assertInstanceOf(PeerReply.Acknowledged.class, peers.handle(new CrashReportRequest(REPORT)));
        assertEquals(CrashStatus.SUSPECT, crashes.statusOf("print"));
        peers.handle(new CrashReportRequest(new CrashReport("print", "t:2", 0)));
        assertEquals(CrashStatus.BLOCKED, crashes.statusOf("print"));
    }

    @Test
    void rejectsStoreUpdateRequestsBeforeTheFirstRead() {
        assertInstanceOf(PeerReply.Rejected.class, peers.handle(new StoreUpdateRequest(StoreRevision.NONE)));
    }

    @Test
    void grantsTokensToOtherDaemonsWhileRegistered() {
        AllowanceRequest request = new AllowanceRequest("t", 3);
        assertInstanceOf(PeerReply.NotGrantor.class, peers.handle(request));
        grantors.observe(view());
        time.advance(Duration.ofSeconds(1));
        assertEquals(2, ((PeerReply.AllowanceGrant) peers.handle(request)).granted());
    }

    @Test
    void rejectsRequestsThatOnlyDaemonsWithClaimsSupport() {
        assertInstanceOf(PeerReply.Rejected.class, peers.handle(new CrashClearedRequest("print")));
    }
}
