package io.anvilpick.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import com.google.common.collect.ImmutableList;
import io.anvilpick.config.RequestConfig;
import io.anvilpick.config.ServiceConfig;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.error.ErrorKind;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Guards against a planned stop that cuts off calls which wait for a slot, although they could have been refused in time. */
class DispatcherStopTest {
    private static final RequestConfig REPORT = new RequestConfig("report", "*", "/", true, false, 10_000, 1);
    private static final RequestConfig CHARGE = new RequestConfig("charge", "*", "/", false, false, 10_000, 1);
    private static final Duration WORK = Duration.ofMillis(500);
    private static final Duration GRACE = Duration.ofMillis(1_800);
    private static final int LEARNED_CALLS = 40;

    private final ManualTimeSource time = ManualTimeSource.startingAt(0);
    private final Dispatcher dispatcher =
            Dispatcher.builder().time(time).random(new SplittableRandom(1)).build();
    private long nextId;

    private Call newCall() {
        return newCall(REPORT);
    }

    private Call newCall(RequestConfig request) {
        return new Call(nextId++, "", request, Deadline.after(time, Duration.ofSeconds(10)));
    }

    private Call newCallWithGoal(Duration goal) {
        return new Call(nextId++, "", CHARGE, Deadline.after(time, Duration.ofSeconds(10)), Deadline.after(time, goal));
    }

    private Assignment assign() {
        return assign(newCall());
    }

    private Assignment assign(Call call) {
        return assertInstanceOf(Admission.Assigned.class, dispatcher.submit(call))
                .assignment();
    }

    private DispatchResult answer(Assignment assignment) {
        return answer(assignment, WORK);
    }

    private DispatchResult answer(Assignment assignment, Duration work) {
        time.advance(work);
        return dispatcher.finish(assignment, new CallResult.Answered(Optional.empty(), false));
    }

    private void configureTheOnlySlot() {
        dispatcher.configure(
                ServiceConfig.builder("s")
                        .slotsPerTarget(1)
                        .requests(ImmutableList.of())
                        .targets(ImmutableList.of(new TargetConfig("a", "10.0.0.1", 80, "z", false)))
                        .build(),
                Map.of());
    }

    /** One answer in twenty takes longer than the grace period. */
    private void learnTail(RequestConfig request) {
        configureTheOnlySlot();
        for (int i = 0; i < LEARNED_CALLS; i++) {
            answer(assign(newCall(request)), i % 20 == 0 ? GRACE.plusSeconds(1) : WORK);
        }
    }

    private void learnWorkOfTheOnlySlot() {
        configureTheOnlySlot();
        for (int i = 0; i < LEARNED_CALLS; i++) {
            answer(assign());
        }
    }

    private List<Call> queueCalls(int count) {
        List<Call> calls = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Call call = newCall();
            assertInstanceOf(Admission.Waiting.class, dispatcher.submit(call));
            calls.add(call);
        }
        return calls;
    }

    private static DispatchResult.Refusal shuttingDown(Call call) {
        return new DispatchResult.Refusal(call, ErrorKind.SHUTTING_DOWN);
    }

    @Test
    void callsWhoseTurnComesTooLateAreRefusedAsSoonAsTheStopBegins() {
        learnWorkOfTheOnlySlot();
        Assignment running = assign();
        List<Call> waiting = queueCalls(4);
        DispatchResult result = dispatcher.stopBy(Deadline.after(time, GRACE));
        assertEquals(List.of(shuttingDown(waiting.get(3))), result.refused());
        assertEquals(waiting.get(0), answer(running).assigned().getFirst().call());
    }

    @Test
    void callsThatStillWaitAreRefusedOnceTheyCannotBeAnsweredBeforeTheEnd() {
        learnWorkOfTheOnlySlot();
        assign();
        List<Call> waiting = queueCalls(2);
        assertEquals(List.of(), dispatcher.stopBy(Deadline.after(time, GRACE)).refused());
        time.advance(GRACE.minus(WORK).minusMillis(1));
        assertEquals(Optional.empty(), dispatcher.withdrawIfLate(waiting.get(1)));
        time.advance(Duration.ofMillis(1));
        assertEquals(Optional.of(ErrorKind.SHUTTING_DOWN), dispatcher.withdrawIfLate(waiting.get(1)));
        assertEquals(
                List.of(shuttingDown(waiting.get(0))), dispatcher.dispatch().refused());
        assertEquals(0, dispatcher.waitingCalls());
    }

    @Test
    void noCallIsSentThatWouldOutlastTheDaemon() {
        learnWorkOfTheOnlySlot();
        dispatcher.stopBy(Deadline.after(time, WORK));
        assertEquals(new Admission.Refused(ErrorKind.SHUTTING_DOWN), dispatcher.submit(newCall()));
        assertEquals(new Admission.Refused(ErrorKind.SHUTTING_DOWN), dispatcher.retry(newCall(), Set.of()));
    }

    /** Guards against a planned stop that cuts a charge off because it was sent although its tail outlasts the daemon. */
    @Test
    void aCallThatMayNotBeRepeatedIsNotSentIfItsTailWouldOutlastTheDaemon() {
        learnTail(CHARGE);
        dispatcher.stopBy(Deadline.after(time, GRACE));
        assertEquals(new Admission.Refused(ErrorKind.SHUTTING_DOWN), dispatcher.submit(newCall(CHARGE)));
    }

    /** Guards against refusals of calls that their callers may send again if they are cut off. */
    @Test
    void aCallThatMayBeRepeatedIsSentIfNineInTenAnswersComeInTime() {
        learnTail(REPORT);
        dispatcher.stopBy(Deadline.after(time, GRACE));
        assertInstanceOf(Admission.Assigned.class, dispatcher.submit(newCall(REPORT)));
    }

    /** Guards against a planned stop that sends calls of a class without answers until its end, and cuts them off. */
    @Test
    void aCallOfUnknownLengthIsNotSentIfItsGoalIsAfterTheEnd() {
        configureTheOnlySlot();
        dispatcher.stopBy(Deadline.after(time, GRACE));
        assertEquals(
                new Admission.Refused(ErrorKind.SHUTTING_DOWN),
                dispatcher.submit(newCallWithGoal(GRACE.plusMillis(1))));
        assertInstanceOf(Admission.Assigned.class, dispatcher.submit(newCallWithGoal(GRACE.minusMillis(1))));
    }

    /** Guards against refusals of calls that end at their own deadline before the daemon does. */
    @Test
    void aCallWhoseDeadlineIsBeforeTheEndIsSent() {
        learnWorkOfTheOnlySlot();
        dispatcher.stopBy(Deadline.after(time, WORK));
        Call call = new Call(nextId++, "", REPORT, Deadline.after(time, WORK.minusMillis(1)));
        assertInstanceOf(Admission.Assigned.class, dispatcher.submit(call));
    }

    /** Guards against a wait for a slot on which the call could only be sent to be cut off. */
    @Test
    void aWaitingCallOfUnknownLengthIsRefusedWhenItsGoalHasPassed() {
        configureTheOnlySlot();
        assign();
        Call waiting = newCallWithGoal(WORK);
        assertInstanceOf(Admission.Waiting.class, dispatcher.submit(waiting));
        assertEquals(List.of(), dispatcher.stopBy(Deadline.after(time, GRACE)).refused());
        time.advance(WORK.minusMillis(1));
        assertEquals(Optional.empty(), dispatcher.withdrawIfLate(waiting));
        time.advance(Duration.ofMillis(1));
        assertEquals(Optional.of(ErrorKind.SHUTTING_DOWN), dispatcher.withdrawIfLate(waiting));
    }

    @Test
    void aWaitingCallOfUnknownLengthIsRefusedAtTheStopIfItsGoalIsAfterTheEnd() {
        configureTheOnlySlot();
        assign();
        Call waiting = newCallWithGoal(GRACE.plusMillis(1));
        assertInstanceOf(Admission.Waiting.class, dispatcher.submit(waiting));
        assertEquals(
                List.of(shuttingDown(waiting)),
                dispatcher.stopBy(Deadline.after(time, GRACE)).refused());
    }
}
