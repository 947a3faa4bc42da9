package io.anvilpick.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.anvilpick.config.RequestConfig;
import io.anvilpick.config.ServiceConfig;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.limits.WindowBudget;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class EarliestAnswerTest {
    private static final RequestConfig LOOKUP = new RequestConfig("lookup", "*", "/", true, false, 2_000, 1);
    private static final Duration BASELINE = Duration.ofMillis(200);

    private final ManualTimeSource time = ManualTimeSource.startingAt(0);
    private final WindowBudget extraCalls = WindowBudget.of(time, 0, 100, Duration.ofSeconds(10));
    private final Dispatcher dispatcher = Dispatcher.builder()
            .time(time)
            .random(new SplittableRandom(1))
            .policy(new TargetPolicy.EarliestAnswer("near"))
            .extraCalls(extraCalls)
            .build();
    private long nextCall;

    private void configureTargets(int near, int far, int slots) {
        ImmutableList.Builder<TargetConfig> configs = ImmutableList.builder();
        ImmutableMap.Builder<String, TargetTraits> traits = ImmutableMap.builder();
        IntStream.range(0, near + far).forEach(i -> {
            String zone = i < near ? "near" : "far";
            configs.add(new TargetConfig(zone + i, "10.0.0." + i, 80, zone, false));
            traits.put(zone + i, new TargetTraits(slots, new Deadline(time.nanos())));
        });
        dispatcher.configure(
                ServiceConfig.builder("s")
                        .slotsPerTarget(slots)
                        .requests(ImmutableList.of())
                        .targets(configs.build())
                        .build(),
                traits.buildOrThrow());
    }

    private Call call(Duration goal) {
        return new Call(
                nextCall++, "", LOOKUP, Deadline.after(time, Duration.ofSeconds(2)), Deadline.after(time, goal));
    }

    private Assignment send() {
        return send(Duration.ofMillis(600));
    }

    private Assignment send(Duration goal) {
        return assertInstanceOf(Admission.Assigned.class, dispatcher.submit(call(goal)))
                .assignment();
    }

    private void answer(Assignment assignment) {
        dispatcher.finish(assignment, new CallResult.Answered(Optional.empty(), false, false));
    }

    private void establishBaseline() {
        for (int i = 0; i < 20; i++) {
            Assignment assignment = send();
            time.advance(BASELINE);
            answer(assignment);
        }
        time.advance(Duration.ofSeconds(1));
    }

    @Test
    void prefersOwnZoneWhileThatCostsLittle() {
        configureTargets(2, 2, 4);
        for (int i = 0; i < 4; i++) {
            assertEquals("near", send().target().zone());
        }
    }

    @Test
    void usesOtherZoneWhenOwnTargetsAreFull() {
        configureTargets(1, 1, 2);
        send();
        send();
        assertEquals("far", send().target().zone());
    }

    @Test
    void usesOtherZoneWhileOwnTargetsReportSlowness() {
        configureTargets(1, 1, 4);
        establishBaseline();
        dispatcher.recordLoadReport("near0", new LoadReport(0, 0, 5));
        assertEquals("far", send().target().zone());
        time.advance(Duration.ofSeconds(2));
        assertEquals("near", send().target().zone());
    }

    @Test
    void slowNearTargetIsUsedWhileItMeetsTheGoal() {
        configureTargets(1, 1, 4);
        establishBaseline();
        dispatcher.recordLoadReport("near0", new LoadReport(0, 0, 2));
        assertEquals("near", send(Duration.ofMillis(1_500)).target().zone());
    }

    @Test
    void reportedCallsOfOtherDaemonsCountTowardsOccupancy() {
        configureTargets(2, 0, 4);
        dispatcher.recordLoadReport("near0", new LoadReport(3, 0, 1));
        assertEquals("near1", send().target().id());
        assertEquals("near1", send().target().id());
    }

    @Test
    void lastSlotsStayFreeWhileFillingThemSlowsOtherCalls() {
        configureTargets(1, 0, 4);
        for (int i = 0; i < 3; i++) {
            send();
        }
        assertInstanceOf(Admission.Waiting.class, dispatcher.submit(call(BASELINE)));
    }

    @Test
    void nearlyFullTargetIsUsedOnceAnswersShowThatItIsAsFast() {
        configureTargets(1, 1, 2);
        establishBaseline();
        for (int i = 0; i < 30; i++) {
            Assignment first = send(Duration.ofMillis(1_500));
            Assignment second = send(Duration.ofMillis(1_500));
            time.advance(BASELINE);
            answer(first);
            answer(second);
        }
        time.advance(Duration.ofSeconds(1));
        send();
        assertEquals("near", send(Duration.ofMillis(300)).target().zone());
    }

    @Test
    void nearlyFullTargetIsAvoidedOnceAnswersShowThatItIsSlower() {
        configureTargets(1, 1, 2);
        establishBaseline();
        for (int i = 0; i < 30; i++) {
            Assignment alone = send(Duration.ofMillis(1_500));
            time.advance(BASELINE);
            answer(alone);
            Assignment first = send(Duration.ofMillis(1_500));
            Assignment second = send(Duration.ofMillis(1_500));
            time.advance(BASELINE.multipliedBy(2));
            answer(first);
            answer(second);
        }
        time.advance(Duration.ofSeconds(1));
        send();
        assertEquals("far", send(Duration.ofMillis(300)).target().zone());
    }

    @Test
    void lastOfTwoSlotsIsFilled() {
        configureTargets(1, 0, 2);
        send();
        send();
        assertInstanceOf(Admission.Waiting.class, dispatcher.submit(call(BASELINE)));
    }

    @Test
    void callWaitsWhenAllTargetsAreFull() {
        configureTargets(1, 0, 1);
        send();
        assertInstanceOf(Admission.Waiting.class, dispatcher.submit(call(BASELINE)));
    }

    @Test
    void callWithTimeToSpareWaitsWhileTargetIsSlow() {
        configureTargets(1, 0, 4);
        establishBaseline();
        dispatcher.recordLoadReport("near0", new LoadReport(0, 0, 5));
        Call call = call(Duration.ofMillis(600));
        assertInstanceOf(Admission.Waiting.class, dispatcher.submit(call));
        dispatcher.recordLoadReport("near0", new LoadReport(0, 0, 1));
        assertEquals(call, dispatcher.dispatch().assigned().getFirst().call());
    }

    @Test
    void callWithoutTimeToSpareIsSentToSlowTarget() {
        configureTargets(1, 0, 4);
        establishBaseline();
        dispatcher.recordLoadReport("near0", new LoadReport(0, 0, 5));
        send(Duration.ofMillis(220));
    }

    @Test
    void callsThatMissTheirGoalFollowThoseThatCanMeetIt() {
        configureTargets(1, 0, 1);
        establishBaseline();
        Assignment running = send();
        Call late = call(Duration.ofMillis(300));
        assertInstanceOf(Admission.Waiting.class, dispatcher.submit(late));
        time.advance(Duration.ofMillis(250));
        Call onTime = call(Duration.ofMillis(600));
        assertInstanceOf(Admission.Waiting.class, dispatcher.submit(onTime));
        DispatchResult first = dispatcher.finish(running, new CallResult.Answered(Optional.empty(), false, false));
        assertEquals(onTime, first.assigned().getFirst().call());
        DispatchResult second =
                dispatcher.finish(first.assigned().getFirst(), new CallResult.Answered(Optional.empty(), false, false));
        assertEquals(late, second.assigned().getFirst().call());
        assertEquals(0, dispatcher.waitingCalls());
    }

    @Test
    void coldTargetReceivesCallsOnlyWhenOthersAreBusier() {
        configureTargets(2, 0, 4);
        ServiceConfig service = ServiceConfig.builder("s")
                .slotsPerTarget(4)
                .requests(ImmutableList.of())
                .targets(List.of(
                        new TargetConfig("near0", "10.0.0.0", 80, "near", false),
                        new TargetConfig("cold", "10.0.0.9", 80, "near", false)))
                .build();
        dispatcher.configure(
                service,
                ImmutableMap.of(
                        "near0", new TargetTraits(4, new Deadline(time.nanos())),
                        "cold", new TargetTraits(4, Deadline.after(time, Duration.ofSeconds(3)))));
        assertEquals("near0", send().target().id());
        assertEquals("near0", send().target().id());
    }

    @Test
    void targetWithFrequentFailuresIsAvoided() {
        configureTargets(2, 0, 4);
        for (int i = 0; i < 6; i++) {
            Assignment assignment = send();
            boolean failing = assignment.target().id().equals("near0");
            dispatcher.finish(assignment, new CallResult.Answered(Optional.empty(), failing, false));
        }
        for (int i = 0; i < 3; i++) {
            assertEquals("near1", send().target().id());
        }
    }

    @Test
    void targetWithRepeatedTimeoutsIsEjected() {
        configureTargets(1, 0, 4);
        establishBaseline();
        List<Assignment> unanswered = List.of(send(), send());
        configureTargets(2, 0, 4);
        time.advance(Duration.ofSeconds(2));
        unanswered.forEach(assignment -> dispatcher.finish(assignment, new CallResult.TimedOut()));
        for (int i = 0; i < 3; i++) {
            assertEquals("near1", send().target().id());
        }
    }

    @Test
    void probesTargetsWithLowestSlowdownAndNoneOnceAGoodOneIsKnown() {
        configureTargets(3, 3, 4);
        List<TargetConfig> first = dispatcher.targetsToProbe(call(BASELINE), Set.of(), 3);
        assertTrue(first.stream().allMatch(target -> target.zone().equals("near")));
        first.forEach(target -> dispatcher.recordLoadReport(target.id(), new LoadReport(0, 0, 5)));
        List<TargetConfig> second = dispatcher.targetsToProbe(call(BASELINE), Set.of(), 3);
        assertTrue(second.stream().allMatch(target -> target.zone().equals("far")));
        assertEquals(2, second.size());
        dispatcher.recordLoadReport("near1", new LoadReport(0, 0, 1));
        assertEquals(List.of(), dispatcher.targetsToProbe(call(BASELINE), Set.of(), 3));
        time.advance(Duration.ofMillis(30));
        assertEquals(3, dispatcher.targetsToProbe(call(BASELINE), Set.of(), 3).size());
    }

    @Test
    void targetWithLateProbeReplyIsAvoidedUntilItReports() {
        configureTargets(2, 0, 4);
        dispatcher.recordLateProbe("near0");
        assertEquals("near1", send().target().id());
        assertEquals("near1", send().target().id());
        dispatcher.recordLoadReport("near0", new LoadReport(0, 0, 1));
        assertEquals("near0", send().target().id());
    }

    @Test
    void unreachableTargetIsProbedAgainBeforeItReceivesCalls() {
        configureTargets(2, 0, 8);
        dispatcher.recordFailedProbe("near0");
        for (int i = 0; i < 3; i++) {
            assertEquals("near1", send().target().id());
        }
        time.advance(Duration.ofSeconds(1));
        assertTrue(dispatcher.targetsToProbe(call(BASELINE), Set.of(), 4).stream()
                .anyMatch(target -> target.id().equals("near0")));
        assertEquals("near1", send().target().id());
        dispatcher.recordLoadReport("near0", new LoadReport(0, 0, 1));
        time.advance(Duration.ofSeconds(10));
        assertEquals("near0", send().target().id());
    }

    @Test
    void replacedTargetReceivesNoCalls() {
        configureTargets(1, 1, 4);
        dispatcher.recordReplaced("near0");
        assertEquals("far1", send().target().id());
    }

    @Test
    void callThatReachedNoTargetIsResubmittedWithoutBudget() {
        configureTargets(2, 0, 4);
        extraCalls.setLimits(0, 0);
        Assignment assignment = send();
        dispatcher.finish(assignment, new CallResult.ConnectFailed());
        Set<String> failed = Set.of(assignment.target().id());
        assertInstanceOf(Admission.Refused.class, dispatcher.retry(assignment.call(), failed));
        Admission again = dispatcher.resubmit(assignment.call(), failed);
        assertNotEquals(
                assignment.target().id(),
                assertInstanceOf(Admission.Assigned.class, again)
                        .assignment()
                        .target()
                        .id());
    }
}
