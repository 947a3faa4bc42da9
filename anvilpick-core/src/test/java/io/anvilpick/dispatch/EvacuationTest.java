package io.anvilpick.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.anvilpick.config.ServiceConfig;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.error.ErrorKind;
import io.anvilpick.time.Deadline;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Guards against calls and probes at targets in an evacuated zone. */
class EvacuationTest extends EarliestAnswerFixture {
    private static final int MAX_PROBES = 4;

    private Set<String> probedZones() {
        return dispatcher.targetsToProbe(call(BASELINE), Set.of(), MAX_PROBES).stream()
                .map(TargetConfig::zone)
                .collect(Collectors.toSet());
    }

    @Test
    void newCallsAndProbesGoToTheOtherZone() {
        configureTargets(2, 2, 4);
        dispatcher.setEvacuatedZones(Set.of("near"));
        for (int i = 0; i < 4; i++) {
            assertEquals("far", send().target().zone());
        }
        assertEquals(Set.of("far"), probedZones());
    }

    @Test
    void callsInFlightEndAsUsualAndTheirRetriesGoElsewhere() {
        configureTargets(1, 1, 4);
        Assignment assignment = send();
        assertEquals("near", assignment.target().zone());
        dispatcher.setEvacuatedZones(Set.of("near"));
        dispatcher.finish(assignment, new CallResult.Lost());
        Admission again = dispatcher.retry(assignment.call(), Set.of());
        assertEquals(
                "far",
                assertInstanceOf(Admission.Assigned.class, again)
                        .assignment()
                        .target()
                        .zone());
    }

    @Test
    void queuedCallsDoNotGoToTheZone() {
        configureTargets(1, 1, 1);
        Assignment first = send();
        Assignment second = send();
        Call waiting = call(Duration.ofMillis(600));
        assertInstanceOf(Admission.Waiting.class, dispatcher.submit(waiting));
        dispatcher.setEvacuatedZones(Set.of("near"));
        Assignment near = first.target().zone().equals("near") ? first : second;
        Assignment far = near == first ? second : first;
        assertEquals(List.of(), finish(near).assigned());
        assertEquals("far", finish(far).assigned().getFirst().target().zone());
    }

    private DispatchResult finish(Assignment assignment) {
        return dispatcher.finish(assignment, new CallResult.Answered(Optional.empty(), false));
    }

    @Test
    void hedgesDoNotGoToTheZone() {
        configureTargets(1, 1, 4);
        Assignment near = send();
        dispatcher.setEvacuatedZones(Set.of("far"));
        assertEquals(Optional.empty(), dispatcher.hedge(near));
        dispatcher.setEvacuatedZones(Set.of());
        assertTrue(dispatcher.hedge(near).isPresent());
    }

    @Test
    void ejectedTargetsOfTheZoneAreNotProbedForRecovery() {
        configureTargets(2, 2, 4);
        dispatcher.recordFailedProbe("near0");
        time.advance(Duration.ofSeconds(30));
        dispatcher.setEvacuatedZones(Set.of("near"));
        for (int i = 0; i < 10; i++) {
            assertTrue(!probedZones().contains("near"));
            time.advance(Duration.ofSeconds(1));
        }
        dispatcher.setEvacuatedZones(Set.of());
        assertTrue(probedZones().contains("near"));
    }

    @Test
    void trialCallsDoNotGoToTheZone() {
        Dispatcher testingWithCalls =
                Dispatcher.builder().time(time).random(new SplittableRandom(1)).build();
        testingWithCalls.configure(
                ServiceConfig.builder("s")
                        .slotsPerTarget(4)
                        .requests(ImmutableList.of())
                        .targets(ImmutableList.of(
                                new TargetConfig("a", "10.0.0.1", 80, "near", false),
                                new TargetConfig("b", "10.0.0.2", 80, "far", false)))
                        .build(),
                Map.of());
        testingWithCalls.recordFailedProbe("a");
        testingWithCalls.setEvacuatedZones(Set.of("near"));
        for (int i = 0; i < 100; i++) {
            time.advance(Duration.ofSeconds(1));
            Assignment assignment = assertInstanceOf(
                            Admission.Assigned.class, testingWithCalls.submit(call(Duration.ofMillis(600))))
                    .assignment();
            assertEquals("far", assignment.target().zone());
            testingWithCalls.finish(assignment, new CallResult.Answered(Optional.empty(), false));
        }
    }

    @Test
    void callsAreRefusedAtOnceIfAllZonesAreEvacuated() {
        configureTargets(1, 1, 1);
        Assignment first = send();
        send();
        Call queued = call(Duration.ofMillis(600));
        assertInstanceOf(Admission.Waiting.class, dispatcher.submit(queued));
        Call polling = call(Duration.ofMillis(600));
        assertInstanceOf(Admission.Waiting.class, dispatcher.submit(polling));
        dispatcher.setEvacuatedZones(Set.of("near", "far"));
        Admission refusal = new Admission.Refused(ErrorKind.ZONES_EVACUATED);
        assertEquals(refusal, dispatcher.submit(call(Duration.ofMillis(600))));
        assertEquals(refusal, dispatcher.retry(first.call(), Set.of()));
        assertEquals(refusal, dispatcher.resubmit(first.call(), Set.of()));
        assertEquals(Optional.of(ErrorKind.ZONES_EVACUATED), dispatcher.withdrawIfLate(polling));
        assertEquals(
                List.of(new DispatchResult.Refusal(queued, ErrorKind.ZONES_EVACUATED)),
                dispatcher.dispatch().refused());
        assertEquals(0, dispatcher.waitingCalls());
        dispatcher.setEvacuatedZones(Set.of("near"));
        finish(first);
        time.advance(Duration.ofSeconds(1));
        assertInstanceOf(Admission.Waiting.class, dispatcher.submit(call(Duration.ofMillis(600))));
    }

    /** Guards against a refusal because of rest, although no target outside the evacuated zone rests. */
    @Test
    void targetsOfTheZoneDoNotCountAsRoom() {
        configureTargets(1, 1, 4);
        dispatcher.setEvacuatedZones(Set.of("near"));
        Assignment far = send();
        dispatcher.recordNotice(far.target().id(), new TargetNotice.Rest(Deadline.after(time, Duration.ofSeconds(30))));
        assertInstanceOf(Admission.Refused.class, dispatcher.submit(call(Duration.ofMillis(600))));
    }
}
