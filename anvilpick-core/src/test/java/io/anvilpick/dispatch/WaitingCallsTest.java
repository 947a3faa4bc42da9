package io.anvilpick.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.anvilpick.error.ErrorKind;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Refusal and return of calls by the rate at which the queue drains, and limits of probes. */
class WaitingCallsTest extends EarliestAnswerFixture {
    private static final int DAEMONS = 19;
    private static final int MAX_CALLS = 500;
    private static final Duration DRAIN_STEP = Duration.ofMillis(100);

    /** Answers a call each 100 ms on targets of which the other daemons use nearly all slots, while calls wait. */
    private void drainSlowly() {
        dispatcher.setHasTenants(true);
        configureTargets(1, 0, 1);
        establishBaseline();
        Assignment running = send();
        for (int i = 0; i < 40; i++) {
            Admission ignored = dispatcher.submit(call(Duration.ofMillis(900)));
            time.advance(DRAIN_STEP);
            DispatchResult result = dispatcher.finish(running, new CallResult.Answered(Optional.empty(), false));
            running = result.assigned().getFirst();
        }
    }

    private List<Admission.Refused> fillUntilRefused() {
        List<Admission.Refused> refused = new ArrayList<>();
        for (int i = 0; i < MAX_CALLS; i++) {
            if (dispatcher.submit(call(Duration.ofMillis(900))) instanceof Admission.Refused refusal) {
                refused.add(refusal);
            }
        }
        return refused;
    }

    /** Guards against a queue that counts on all slots of a service although other daemons use most of them. */
    @Test
    void callThatCannotMeetItsDeadlineIsRefusedAtOnce() {
        dispatcher.setDaemonCount(DAEMONS);
        drainSlowly();
        List<Admission.Refused> refused = fillUntilRefused();
        assertTrue(!refused.isEmpty());
        assertEquals(ErrorKind.OVERLOADED, refused.getFirst().kind());
        // Ten calls a second drain, and calls have 2 s. The upper estimate of the rate admits some more than 20.
        assertTrue(dispatcher.waitingCalls() < 40, () -> dispatcher.waitingCalls() + " calls wait");
    }

    /** Guards against refused callers that return in one wave, too early or later than their deadlines allow. */
    @Test
    void refusedCallersReturnAtDifferentTimesWithinAThirdOfTheirTime() {
        dispatcher.setDaemonCount(DAEMONS);
        drainSlowly();
        fillUntilRefused();
        Set<Duration> times = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            Call call = call(Duration.ofMillis(900));
            long left = call.deadline().remainingNanos(time.nanos());
            Duration after = dispatcher.retryAfter(call).orElseThrow();
            assertTrue(after.toMillis() >= 50 && after.toNanos() <= left / 3, after::toString);
            times.add(after);
        }
        assertTrue(times.size() > 1, times::toString);
    }

    @Test
    void usualTimeAppliesWhileNoRateIsKnown() {
        configureTargets(1, 0, 1);
        assertEquals(Optional.empty(), dispatcher.retryAfter(call(Duration.ofMillis(900))));
        drainSlowly();
        time.advance(Duration.ofSeconds(5));
        assertEquals(Optional.empty(), dispatcher.retryAfter(call(Duration.ofMillis(900))));
    }

    @Test
    void nothingIsRefusedWhileATargetHasRoom() {
        dispatcher.setDaemonCount(DAEMONS);
        drainSlowly();
        fillUntilRefused();
        configureTargets(5, 0, 1);
        assertInstanceOf(Admission.Waiting.class, dispatcher.submit(call(Duration.ofMillis(900))));
    }

    /** Guards against daemons that together probe a target more often than the settings allow. */
    @Test
    void probesKeepToTheShareOfTheDaemon() {
        dispatcher.setDaemonCount(10);
        configureTargets(20, 0, 1);
        dispatcher.setProbeLimit(60);
        int probes = 0;
        for (int i = 0; i < 10_000; i++) {
            probes += dispatcher
                    .targetsToProbe(call(Duration.ofMillis(900)), Set.of(), 4)
                    .size();
            time.advance(Duration.ofMillis(1));
        }
        int sent = probes;
        assertTrue(sent > 0 && sent <= 10 * 60 * 20 / 10, () -> "probes in 10 s: " + sent);
    }

    @Test
    void waitingCallsShareARoundOfProbes() {
        configureTargets(20, 0, 1);
        assertTrue(dispatcher.tryBeginProbesOfWaiting());
        assertTrue(dispatcher.tryBeginProbesOfWaiting());
        dispatcher.setProbeLimit(60);
        assertTrue(dispatcher.tryBeginProbesOfWaiting());
        assertTrue(!dispatcher.tryBeginProbesOfWaiting());
        time.advance(Duration.ofMillis(20));
        assertTrue(dispatcher.tryBeginProbesOfWaiting());
    }
}
