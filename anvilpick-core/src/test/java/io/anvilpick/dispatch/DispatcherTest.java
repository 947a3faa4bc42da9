package io.anvilpick.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class DispatcherTest {
    private static final int TARGETS = 10;
    private static final int SLOTS = 4;
    private static final int CONNECTIONS = 220;
    private static final double CAPACITY_PER_SECOND = TARGETS * SLOTS * 1_000 / 20.0;
    private static final Duration RUN = Duration.ofSeconds(20);
    private static final TargetPolicy OURS = new TargetPolicy.LateBinding();

    private static FakeTargets fake(TargetPolicy policy, long seed) {
        return new FakeTargets(TARGETS, SLOTS, policy, FakeTargets.LOOKUP, seed);
    }

    private static FakeTargets run(FakeTargets fake, double utilisation) {
        fake.offer("a", CAPACITY_PER_SECOND * utilisation, RUN);
        fake.run(Duration.ofMinutes(2));
        return fake;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void stragglerCostsAtMostHalfOfLeastInFlight(long seed) {
        FakeTargets ours = fake(OURS, seed);
        FakeTargets baseline = fake(new TargetPolicy.LeastInFlight(), seed);
        ours.slowness(target -> target == 0 ? 10 : 1);
        baseline.slowness(target -> target == 0 ? 10 : 1);
        run(ours, 0.7);
        run(baseline, 0.7);
        assertTrue(
                ours.latencyMillis("a", 0.99) <= baseline.latencyMillis("a", 0.99) / 2,
                () -> ours.latencyMillis("a", 0.99) + " against " + baseline.latencyMillis("a", 0.99));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void stragglerCostsAtMostThirtyPercentOverNoStraggler(long seed) {
        FakeTargets with = fake(OURS, seed);
        with.slowness(target -> target == 0 ? 10 : 1);
        run(with, 0.7);
        double without = run(fake(OURS, seed), 0.7).latencyMillis("a", 0.99);
        assertTrue(with.latencyMillis("a", 0.99) <= 1.3 * without);
    }

    /** Every daemon keeps to its share, so that all together never ask a target for more connections than it takes. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 6, 28, 60, 220})
    void callsInFlightOfAllDaemonsStayWithinTheConnectionsOfATarget(int daemons) {
        int atOneDaemon = callsAssignedAtOneOf(daemons);
        assertTrue(atOneDaemon >= 1, "every daemon may call every target");
        assertTrue(atOneDaemon <= 64, () -> atOneDaemon + " calls in 64 slots");
        assertTrue(
                atOneDaemon * daemons <= CONNECTIONS, () -> daemons + " daemons with " + atOneDaemon + " calls each");
    }

    /** The known limit: more daemons than connections still keep one call each, so that none is cut off from a target. */
    @Test
    void daemonKeepsOneCallWhereThereAreMoreDaemonsThanConnections() {
        assertEquals(1, callsAssignedAtOneOf(500));
    }

    private static int callsAssignedAtOneOf(int daemons) {
        ManualTimeSource time = ManualTimeSource.startingAt(0);
        Dispatcher dispatcher =
                Dispatcher.builder().time(time).random(new SplittableRandom(1)).build();
        ServiceConfig service = ServiceConfig.builder("s")
                .slotsPerTarget(64)
                .connectionsPerTarget(CONNECTIONS)
                .requests(List.of(FakeTargets.LOOKUP))
                .targets(List.of(new TargetConfig("t", "127.0.0.1", 1, "z", false)))
                .build();
        dispatcher.configure(service, FakeTargets.configurationOf(service));
        dispatcher.setDaemonCount(daemons);
        int assigned = 0;
        for (int i = 0; i < 2 * CONNECTIONS; i++) {
            Call call = new Call(i, "a", FakeTargets.LOOKUP, Deadline.after(time, Duration.ofSeconds(1)));
            assigned += dispatcher.submit(call) instanceof Admission.Assigned ? 1 : 0;
        }
        return assigned;
    }

    @Test
    void targetThatFailsFastDoesNotAttractCalls() {
        FakeTargets fake = fake(OURS, 1);
        fake.failingFast.add(0);
        run(fake, 0.7);
        assertTrue(fake.callsByTarget.get(0) < fake.calls / 100, () -> "calls: " + fake.callsByTarget.get(0));
    }

    @Test
    void targetThatDrainsGetsNoCallAfterItSaysSo() {
        FakeTargets fake = fake(OURS, 1);
        fake.offer("a", CAPACITY_PER_SECOND * 0.5, RUN);
        fake.run(Duration.ofSeconds(5));
        fake.draining.add(0);
        fake.run(Duration.ofSeconds(1));
        int after = fake.callsByTarget.get(0);
        fake.run(Duration.ofSeconds(14));
        assertEquals(after, fake.callsByTarget.get(0));
    }

    @Test
    void targetOnLeavingListGetsNoCall() {
        FakeTargets fake = fake(OURS, 1);
        fake.dispatcher.setLeavingAddresses(Set.of("127.0.0.1:9000"));
        run(fake, 0.5);
        assertFalse(fake.callsByTarget.containsKey(0));
    }

    @Test
    void allTargetsLookingBadStillLeavesSomeServing() {
        FakeTargets fake = fake(OURS, 1);
        for (int i = 0; i < TARGETS; i++) {
            fake.failingFast.add(i);
        }
        fake.offer("a", 100, Duration.ofSeconds(5));
        fake.run(Duration.ofSeconds(5));
        fake.failingFast.clear();
        int before = fake.answered();
        fake.offer("a", 100, Duration.ofSeconds(5));
        fake.run(Duration.ofSeconds(20));
        assertTrue(fake.answered() - before > 400, () -> "answered: " + (fake.answered() - before));
        assertEquals(0, fake.refused());
    }

    @Test
    void goodputUnderTwiceTheLoadIsAtLeast95PercentOfThatAtFullLoad() {
        FakeTargets full = run(fake(OURS, 1), 1.0);
        FakeTargets twice = run(fake(OURS, 1), 2.0);
        assertTrue(twice.answered() >= 0.95 * full.answered(), () -> twice.answered() + " against " + full.answered());
    }

    @Test
    void burstOfOneTenantDoesNotStarveTheOthers() {
        FakeTargets fake = fake(OURS, 1);
        fake.offer("a", CAPACITY_PER_SECOND * 1.5, RUN);
        fake.offer("b", CAPACITY_PER_SECOND * 0.25, RUN);
        fake.offer("c", CAPACITY_PER_SECOND * 0.25, RUN);
        fake.run(Duration.ofMinutes(2));
        assertEquals(0, fake.refusedByTenant.getOrDefault("b", 0));
        assertEquals(0, fake.refusedByTenant.getOrDefault("c", 0));
        assertTrue(fake.refusedByTenant.get("a") > 0);
        double alone = run(fake(OURS, 1), 0.9).latencyMillis("a", 0.99);
        assertTrue(fake.latencyMillis("b", 0.99) <= 1.3 * alone);
    }

    /** Nine of ten targets fail: real calls find out when they are back, and no more of them than the budget pays for. */
    @Test
    void trialsOfFailedTargetsStayWithinTheMeasuringBudget() {
        FakeTargets fake = fake(OURS, 1);
        for (int i = 1; i < TARGETS; i++) {
            fake.failingFast.add(i);
        }
        fake.offer("a", 150, Duration.ofSeconds(10));
        fake.run(Duration.ofSeconds(3));
        int before = callsToFailed(fake);
        fake.run(Duration.ofSeconds(5));
        int trials = callsToFailed(fake) - before;
        double budgetMillis = 5_000 * TARGETS * SLOTS * 0.010;
        assertTrue(trials * 6 <= budgetMillis + 6, () -> "trials: " + trials);
        assertTrue(trials > 0);
        fake.failingFast.clear();
        fake.run(Duration.ofSeconds(10));
        fake.time.advance(Duration.ofSeconds(10));
        int back = fake.answered();
        fake.offer("a", CAPACITY_PER_SECOND * 0.5, Duration.ofSeconds(20));
        fake.run(Duration.ofSeconds(40));
        assertTrue(
                fake.answered() - back > CAPACITY_PER_SECOND * 0.5 * 20 * 0.95,
                () -> fake.answered() - back + " answered, " + fake.refused() + " refused, " + fake.failures
                        + " failed " + fake.dispatcher.targets());
    }

    private static int callsToFailed(FakeTargets fake) {
        int calls = 0;
        for (int target : fake.failingFast) {
            calls += fake.callsByTarget.getOrDefault(target, 0);
        }
        return calls;
    }

    @Test
    void hedgesStayWithinTheirBudget() {
        FakeTargets fake = run(fake(OURS, 1), 0.5);
        assertTrue(fake.hedges > 0);
        assertTrue(fake.hedges <= fake.calls / 10 + 10);
    }

    @Test
    void callsThatMayNotBeRepeatedAreNeverHedged() {
        FakeTargets fake = new FakeTargets(TARGETS, SLOTS, OURS, FakeTargets.CHARGE, 1);
        fake.slowness(target -> target == 0 ? 10 : 1);
        run(fake, 0.5);
        assertEquals(0, fake.hedges);
    }

    @Test
    void callWhoseDeadlineHasPassedIsRefusedBeforeItIsSent() {
        ManualTimeSource time = ManualTimeSource.startingAt(0);
        Dispatcher dispatcher = dispatcherOf(time, 1, List.of());
        time.advance(Duration.ofSeconds(1));
        Admission admission = dispatcher.submit(call(1, FakeTargets.LOOKUP, Duration.ofMillis(500), time, -1));
        assertEquals(
                ErrorKind.DEADLINE_BEFORE_SEND,
                assertInstanceOf(Admission.Refused.class, admission).kind());
    }

    @Test
    void callThatCannotBeAnsweredInTimeIsShedAtOnce() {
        ManualTimeSource time = ManualTimeSource.startingAt(0);
        Dispatcher dispatcher = dispatcherOf(time, 1, List.of());
        for (int i = 0; i < 20; i++) {
            Assignment assignment =
                    assigned(dispatcher.submit(call(i, FakeTargets.LOOKUP, Duration.ofSeconds(10), time, 1)));
            time.advance(Duration.ofMillis(100));
            dispatcher.finish(assignment, new CallResult.Answered(Optional.empty(), false, false));
        }
        for (int i = 0; i < SLOTS; i++) {
            assigned(dispatcher.submit(call(100 + i, FakeTargets.LOOKUP, Duration.ofSeconds(10), time, 1)));
        }
        Admission admission = dispatcher.submit(call(200, FakeTargets.LOOKUP, Duration.ofMillis(50), time, 1));
        assertEquals(
                ErrorKind.OVERLOADED,
                assertInstanceOf(Admission.Refused.class, admission).kind());
    }

    @Test
    void newTargetStartsWithOneCallAtATime() {
        ManualTimeSource time = ManualTimeSource.startingAt(0);
        Dispatcher dispatcher = dispatcherOf(time, 1, List.of());
        configure(dispatcher, 2, List.of());
        List<TargetView> views = dispatcher.targets();
        assertEquals(SLOTS, views.get(0).limit());
        assertEquals(1, views.get(1).limit());
    }

    @Test
    void targetMarkedAsLeavingInTheConfigurationGetsNoNewCall() {
        ManualTimeSource time = ManualTimeSource.startingAt(0);
        Dispatcher dispatcher = dispatcherOf(time, 2, List.of(0));
        for (int i = 0; i < SLOTS; i++) {
            Assignment assignment =
                    assigned(dispatcher.submit(call(i, FakeTargets.LOOKUP, Duration.ofSeconds(1), time, 1)));
            assertEquals("t1", assignment.target().id());
        }
        assertInstanceOf(
                Admission.Waiting.class,
                dispatcher.submit(call(99, FakeTargets.LOOKUP, Duration.ofSeconds(1), time, 1)));
    }

    @Test
    void waitingCallsOfOneTenantGoByUrgencyThenDeadline() {
        WaitingCalls waiting = new WaitingCalls();
        ManualTimeSource time = ManualTimeSource.startingAt(0);
        RequestConfig urgent = new RequestConfig("urgent", "GET", "/a", true, false, 1_000, 0);
        RequestConfig later = new RequestConfig("later", "GET", "/b", true, false, 1_000, 2);
        waiting.add(call(1, later, Duration.ofMillis(10), time, 1), 1);
        waiting.add(call(2, urgent, Duration.ofMillis(500), time, 1), 1);
        waiting.add(call(3, urgent, Duration.ofMillis(100), time, 1), 1);
        List<Long> order = new ArrayList<>();
        while (waiting.next().isPresent()) {
            Call next = waiting.next().orElseThrow();
            waiting.take(next);
            order.add(next.id());
        }
        assertEquals(List.of(3L, 2L, 1L), order);
        assertEquals(0, waiting.size());
    }

    private static Assignment assigned(Admission admission) {
        return assertInstanceOf(Admission.Assigned.class, admission).assignment();
    }

    private static Call call(long id, RequestConfig request, Duration within, ManualTimeSource time, int sign) {
        return new Call(id, "a", request, new Deadline(time.nanos() + sign * within.toNanos()));
    }

    private static Dispatcher dispatcherOf(ManualTimeSource time, int targets, List<Integer> leaving) {
        Dispatcher dispatcher =
                Dispatcher.builder().time(time).random(new SplittableRandom(1)).build();
        configure(dispatcher, targets, leaving);
        return dispatcher;
    }

    private static void configure(Dispatcher dispatcher, int targets, List<Integer> leaving) {
        ImmutableList.Builder<TargetConfig> configs = ImmutableList.builder();
        for (int i = 0; i < targets; i++) {
            configs.add(new TargetConfig("t" + i, "127.0.0.1", 9_000 + i, "z0", leaving.contains(i)));
        }
        ServiceConfig service = ServiceConfig.builder("rowboard")
                .slotsPerTarget(SLOTS)
                .requests(List.of(FakeTargets.LOOKUP))
                .targets(configs.build())
                .build();
        dispatcher.configure(service, FakeTargets.configurationOf(service));
    }
}
