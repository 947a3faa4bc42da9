package io.anvilpick.fleet.sync;

import static io.anvilpick.fleet.FleetSamples.configuration;
import static io.anvilpick.fleet.FleetSamples.member;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.anvilpick.crashes.CrashHistory;
import io.anvilpick.crashes.CrashReport;
import io.anvilpick.crashes.CrashReportBatch;
import io.anvilpick.crashes.CrashReportLedger;
import io.anvilpick.crashes.CrashStatus;
import io.anvilpick.fleet.EntryMember;
import io.anvilpick.fleet.FleetState;
import io.anvilpick.fleet.RelayLog;
import io.anvilpick.fleet.ViewFreshness;
import io.anvilpick.fleet.WatchTimes;
import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import java.util.Collections;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a request that crashes targets and is sent again by a daemon that does not know the reports (review case 7). */
class CrashReportsTest {
    private static final EntryMember FIRST = member("a", "z");
    private static final EntryMember SECOND = member("b", "z");
    private static final EntryMember THIRD = member("c", "z");
    private static final WatchTimes TIMES = new WatchTimes(Duration.ofSeconds(2));
    private static final String REQUEST = "fingerprint";

    private final ManualTimeSource time = ManualTimeSource.startingAt(0);
    private final RewindableStore store = new RewindableStore(time, 1);
    private Daemon first = new Daemon(FIRST);
    private Daemon second = new Daemon(SECOND);

    /** One daemon, which follows the store directly and hears of the reports of others only if the test says so. */
    private final class Daemon {
        private final EntryMember self;
        private final RewindableStore.Client client = store.new Client();
        private final CrashHistory history = new CrashHistory(time);
        private final CrashReportLedger ledger =
                new CrashReportLedger(time, history, () -> CrashReportWriter.turnOf(self(), state().view(), time));
        private final FleetState state = new FleetState(time, view -> {}, ledger);
        private final FleetFollower follower;
        private final CrashReportWriter writer;

        private Daemon(EntryMember self) {
            this.self = self;
            this.writer = new CrashReportWriter(client, state, ledger, history, self, time);
            FakePeers peers = new FakePeers();
            this.follower = FleetFollower.of(new FleetFollower.Parts(
                    client,
                    store,
                    state,
                    new RelayLog(time),
                    new FleetRelays(peers, state::view, self, time),
                    new ViewFreshness(time, TIMES.bound()),
                    TIMES,
                    time));
        }

        private EntryMember self() {
            return self;
        }

        private FleetState state() {
            return state;
        }

        /** Reads what the store has, and writes what is due. */
        private void run() throws InterruptedException {
            follower.step();
            follower.step();
            writer.writeDue();
        }

        private void hear(CrashReport report) {
            if (history.add(report)) {
                ledger.recordReport(report);
            }
        }

        private CrashStatus status() {
            return history.statusOf(REQUEST);
        }
    }

    @BeforeEach
    void startDaemons() throws Exception {
        store.put(configuration(1));
        store.put(FIRST);
        store.put(SECOND);
        first.run();
        second.run();
    }

    private CrashReport crashOf(String target) {
        return new CrashReport(REQUEST, target, time.epochMillis());
    }

    private void bothHear(CrashReport report) {
        first.hear(report);
        second.hear(report);
    }

    private void runBothAfter(Duration duration) throws InterruptedException {
        time.advance(duration);
        first.run();
        second.run();
    }

    private long writes() {
        return Collections.frequency(store.calls, "crashes");
    }

    private CrashStatus statusInANewDaemon() throws InterruptedException {
        Daemon started = new Daemon(THIRD);
        started.run();
        return started.status();
    }

    @Test
    void reportsSurviveTheLossOfAllDaemons() throws Exception {
        bothHear(crashOf("t1"));
        runBothAfter(CrashReportWriter.COLLECTION_TIME);
        assertEquals(CrashStatus.SUSPECT, statusInANewDaemon());
        first = new Daemon(FIRST);
        second = new Daemon(SECOND);
        runBothAfter(Duration.ofSeconds(4));
        bothHear(crashOf("t2"));
        runBothAfter(CrashReportWriter.COLLECTION_TIME);
        assertEquals(CrashStatus.BLOCKED, statusInANewDaemon());
        assertEquals(2, writes());
    }

    @Test
    void daemonThatMissedAReportGetsItFromTheStore() throws Exception {
        first.hear(crashOf("t1"));
        first.hear(crashOf("t2"));
        runBothAfter(CrashReportWriter.COLLECTION_TIME);
        assertEquals(CrashStatus.BLOCKED, second.status());
        assertEquals(1, writes());
    }

    @Test
    void reportOfADaemonThatEndedIsWrittenByAnother() throws Exception {
        bothHear(crashOf("t1"));
        time.advance(CrashReportWriter.SECOND_TURN.minusMillis(1));
        second.run();
        assertEquals(0, writes());
        time.advance(Duration.ofMillis(1));
        second.run();
        assertEquals(1, writes());
        assertEquals(CrashStatus.SUSPECT, statusInANewDaemon());
    }

    @Test
    void reportIsWrittenOnceTheStoreAnswersAgain() throws Exception {
        first.client.unavailable = true;
        second.client.unavailable = true;
        bothHear(crashOf("t1"));
        for (int i = 0; i < 10; i++) {
            runBothAfter(Duration.ofSeconds(1));
        }
        assertEquals(0, writes(), "a store that does not answer is not called");
        first.client.unavailable = false;
        second.client.unavailable = false;
        runBothAfter(Duration.ofSeconds(2));
        assertEquals(CrashStatus.SUSPECT, statusInANewDaemon());
        assertEquals(1, writes());
    }

    @Test
    void reportThatAnOlderCopyOfTheStoreLacksIsWrittenAgain() throws Exception {
        bothHear(crashOf("t1"));
        runBothAfter(Duration.ofSeconds(1));
        assertEquals(1, writes());
        time.advance(Duration.ofSeconds(1));
        store.goBack(Duration.ofMillis(1_500));
        runBothAfter(Duration.ofSeconds(1));
        runBothAfter(CrashReportWriter.COLLECTION_TIME);
        assertEquals(2, writes());
        assertEquals(CrashStatus.SUSPECT, statusInANewDaemon());
    }

    @Test
    void reportsWhoseLeaseEndedEarlyAreWrittenAgainAndExpiredOnesAreNot() throws Exception {
        bothHear(crashOf("t1"));
        runBothAfter(Duration.ofSeconds(1));
        store.endCrashReports();
        runBothAfter(Duration.ofSeconds(1));
        runBothAfter(CrashReportWriter.COLLECTION_TIME);
        assertEquals(2, writes());
        time.advance(Duration.ofMillis(CrashReport.RETENTION_MILLIS));
        store.endCrashReports();
        runBothAfter(Duration.ofSeconds(1));
        runBothAfter(Duration.ofSeconds(10));
        assertEquals(2, writes());
        assertEquals(CrashStatus.CLEAR, first.status());
    }

    @Test
    void oneCrashThatEndsManyRequestsCostsOneWriteForEachBatch() throws Exception {
        for (int i = 0; i < CrashReportBatch.MAX_REPORTS + 1; i++) {
            bothHear(new CrashReport("request " + i, "t1", time.epochMillis()));
        }
        runBothAfter(CrashReportWriter.COLLECTION_TIME);
        assertEquals(1, writes());
        runBothAfter(Duration.ofSeconds(1));
        assertEquals(2, writes());
        runBothAfter(Duration.ofSeconds(10));
        assertEquals(2, writes());
    }

    /** Guards against a store that fills with the reports of crashes that do not end. */
    @Test
    void reportsInTheStoreAreBounded() throws Exception {
        int tooMany = 50;
        for (int batch = 0; batch < tooMany; batch++) {
            for (int i = 0; i < CrashReportBatch.MAX_REPORTS; i++) {
                bothHear(new CrashReport("request " + batch + " " + i, "t1", time.epochMillis()));
            }
            runBothAfter(Duration.ofSeconds(1));
        }
        runBothAfter(Duration.ofSeconds(20));
        assertEquals(40, writes());
        assertEquals(0, first.ledger.unstoredReports());
    }
}
