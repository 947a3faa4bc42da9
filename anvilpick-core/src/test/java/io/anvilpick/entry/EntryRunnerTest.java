package io.anvilpick.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import io.anvilpick.calls.Sender;
import io.anvilpick.calls.TargetReply;
import io.anvilpick.crashes.CrashHistory;
import io.anvilpick.crashes.CrashReport;
import io.anvilpick.error.AnswerTable;
import io.anvilpick.error.CallException;
import io.anvilpick.error.ErrorKind;
import io.anvilpick.error.Outcome;
import io.anvilpick.fleet.FleetChange;
import io.anvilpick.fleet.FleetSamples;
import io.anvilpick.fleet.FleetState;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class EntryRunnerTest {
    private static final int MAX_SENDS = 6;
    private static final SharedBudget BUDGET = new SharedBudget(0.2, 100, Duration.ofSeconds(10));

    private final ManualTimeSource time = ManualTimeSource.startingAt(0);
    private final FakeTargetClient targets = new FakeTargetClient();
    private final EntryDispatchers dispatchers = new EntryDispatchers(time, () -> new SplittableRandom(3), BUDGET, "z");
    private final FleetState state = new FleetState(time, dispatchers::update);
    private final CrashHistory history = new CrashHistory(time);
    private final List<CrashReport> reported = new ArrayList<>();
    private final EntryCrashGuard crashes = new EntryCrashGuard(history, targets, reported::add, time);
    private final EntryEvents events = new EntryEvents(new NoCounts(), time);
    private final EntryRunner runner = new EntryRunner(new EntryRunner.Parts(
            state::view,
            dispatchers,
            new Sender(targets, crashes, events, time, (nanos, action) -> {}),
            targets,
            crashes,
            events,
            time));

    private void configure(String... ids) {
        state.apply(List.of(new FleetChange.ConfigurationWritten(FleetSamples.configuration(1))));
        for (String id : ids) {
            state.apply(List.of(new FleetChange.TargetRegistered(FleetSamples.target(id, "s", false))));
        }
    }

    private EntryRequest request(String path) {
        return request(path, new byte[0]);
    }

    private EntryRequest request(String path, byte[] body) {
        return new EntryRequest(
                "id-1",
                "a.example",
                "POST",
                path,
                ImmutableList.of(),
                body,
                time.nanos(),
                Deadline.after(time, Duration.ofSeconds(4)));
    }

    private int status(String path) throws CallException, InterruptedException {
        return runner.run(request(path)).status();
    }

    private ErrorKind failure(String path) {
        return assertThrows(CallException.class, () -> runner.run(request(path)))
                .kind();
    }

    private static Outcome outcomeOf(ErrorKind kind) {
        return AnswerTable.answerFor(kind).outcome();
    }

    @Test
    void failsWithoutConfiguration() {
        assertEquals(ErrorKind.NO_CONFIGURATION, failure("/read/1"));
    }

    @Test
    void failsForPathWithoutRoute() {
        configure("a");
        assertEquals(ErrorKind.UNKNOWN_REQUEST, failure("/other/1"));
    }

    @Test
    void rejectsBodyOverLimit() {
        configure("a");
        CallException refused = assertThrows(CallException.class, () -> runner.run(request("/pay/1", new byte[1_001])));
        assertEquals(ErrorKind.BODY_TOO_LARGE, refused.kind());
    }

    @Test
    void failsWithoutTarget() {
        configure();
        assertEquals(ErrorKind.NO_TARGET, failure("/read/1"));
    }

    @Test
    void appliesEarlierOfRouteTimeoutAndCallerDeadline() throws Exception {
        configure("a");
        status("/read/1");
        assertEquals(
                Duration.ofSeconds(2),
                Duration.ofNanos(targets.sent.getFirst().deadline().remainingNanos(time.nanos())));
    }

    @Test
    void retriesIdempotentRequestAfterLostConnectionOrServerError() throws Exception {
        configure("a", "b");
        targets.replies.add(new TargetReply.Lost("reset"));
        assertEquals(200, status("/read/1"));
        targets.replies.add(FakeTargetClient.answered(500));
        assertEquals(200, status("/read/2"));
        assertNotEquals(targets.sentTo.get(0), targets.sentTo.get(1));
        assertEquals(4, targets.sentTo.size());
    }

    @Test
    void passesOnLastServerErrorWhenRetriesAreUsedUp() throws Exception {
        configure("a", "b", "c");
        targets.replies.add(FakeTargetClient.answered(500));
        targets.replies.add(FakeTargetClient.answered(502));
        assertEquals(502, status("/read/1"));
        assertEquals(2, targets.sentTo.size());
    }

    @Test
    void neverResendsNonIdempotentRequestThatMayHaveRun() {
        configure("a", "b");
        for (TargetReply reply :
                List.of(new TargetReply.Lost("reset"), new TargetReply.Cut("truncated"), new TargetReply.TimedOut())) {
            targets.sentTo.clear();
            targets.replies.add(reply);
            assertEquals(Outcome.UNKNOWN, outcomeOf(failure("/pay/" + targets.sent.size())));
            assertEquals(1, targets.sentTo.size());
        }
    }

    @Test
    void passesOnServerErrorOfNonIdempotentRequest() throws Exception {
        configure("a", "b");
        targets.replies.add(FakeTargetClient.answered(500));
        assertEquals(500, status("/pay/1"));
        assertEquals(1, targets.sentTo.size());
    }

    @Test
    void resendsNonIdempotentRequestThatDidNotRun() throws Exception {
        configure("a", "b");
        targets.replies.add(FakeTargetClient.rejected());
        assertEquals(200, status("/pay/1"));
        targets.replies.add(new TargetReply.NotSent("refused"));
        assertEquals(200, status("/pay/2"));
        assertEquals(4, targets.sentTo.size());
    }

    @Test
    void rejectionsDoNotCountTowardsMaxTargets() throws Exception {
        configure("a", "b", "c");
        targets.replies.add(FakeTargetClient.rejected());
        targets.replies.add(FakeTargetClient.rejected());
        assertEquals(200, status("/pay/1"));
        assertEquals(3, targets.sentTo.size());
    }

    @Test
    void failsAsNotRunWhenEveryTargetRejects() {
        configure("a", "b");
        for (int i = 0; i < MAX_SENDS; i++) {
            targets.replies.add(FakeTargetClient.rejected());
        }
        ErrorKind kind = failure("/pay/1");
        assertEquals(Outcome.NOT_RUN, outcomeOf(kind));
        assertEquals(MAX_SENDS, targets.sentTo.size());
    }

    @Test
    void failsAsUnknownWhenConnectionIsLostAfterRejection() {
        configure("a", "b");
        targets.replies.add(FakeTargetClient.rejected());
        targets.replies.add(new TargetReply.Lost("reset"));
        assertEquals(Outcome.UNKNOWN, outcomeOf(failure("/pay/1")));
    }

    @Test
    void blocksRequestAfterTwoCrashes() throws Exception {
        configure("a", "b", "c");
        targets.listening = false;
        targets.replies.add(new TargetReply.Lost("reset"));
        targets.replies.add(new TargetReply.Lost("reset"));
        failure("/read/1");
        targets.sentTo.clear();
        assertEquals(ErrorKind.CRASHING_REQUEST, failure("/read/1"));
        assertEquals(List.of(), targets.sentTo);
        assertEquals(200, status("/read/2"));
        assertEquals(2, reported.size());
    }

    @Test
    void blocksRequestAfterCrashReportedByAnotherDaemon() throws Exception {
        configure("a", "b", "c");
        targets.listening = false;
        targets.replies.add(new TargetReply.Lost("reset"));
        failure("/pay/1");
        history.add(new CrashReport(reported.getFirst().fingerprint(), "10.0.0.9:80", 1));
        targets.sentTo.clear();
        assertEquals(ErrorKind.CRASHING_REQUEST, failure("/pay/1"));
        assertEquals(List.of(), targets.sentTo);
    }

    /** Counts nothing. */
}
