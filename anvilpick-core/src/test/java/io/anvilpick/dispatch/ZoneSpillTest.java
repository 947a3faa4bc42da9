package io.anvilpick.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedSet;
import io.anvilpick.config.RequestConfig;
import io.anvilpick.config.ServiceConfig;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.limits.WindowBudget;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;

/** The load of one daemon of a zone with few or many free targets, by reports of their load. */
class ZoneSpillTest {
    private static final RequestConfig LOOKUP = new RequestConfig("lookup", "*", "/", true, false, 2_000, 1);
    private static final int SLOTS = 3;
    private static final int TARGETS_PER_ZONE = 20;
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(20);
    private static final LoadReport FULL = new LoadReport(SLOTS, 1, 1);
    private static final LoadReport IDLE = new LoadReport(0, 0, 1);

    private final ManualTimeSource time = ManualTimeSource.startingAt(0);
    private int nextReport;
    private long nextCall;

    private DispatcherBuilder builder(RandomGenerator random) {
        return Dispatcher.builder()
                .time(time)
                .random(random)
                .policy(new TargetPolicy.EarliestAnswer("near"))
                .extraCalls(WindowBudget.of(time, 0, 100, Duration.ofSeconds(10)));
    }

    private Dispatcher dispatcher(String daemon, String... zones) {
        return configured(builder(new SplittableRandom(1)).spillAs(daemon), zones);
    }

    private Dispatcher configured(DispatcherBuilder builder, String... zones) {
        Dispatcher dispatcher = builder.build();
        ImmutableList.Builder<TargetConfig> configs = ImmutableList.builder();
        ImmutableMap.Builder<String, TargetTraits> traits = ImmutableMap.builder();
        for (int zone = 0; zone < zones.length; zone++) {
            for (int i = 0; i < TARGETS_PER_ZONE; i++) {
                String id = zones[zone] + i;
                configs.add(new TargetConfig(id, "10.0." + zone + "." + i, 80, zones[zone], false));
                traits.put(id, new TargetTraits(SLOTS, new Deadline(0), 1));
            }
        }
        ServiceConfig service = ServiceConfig.builder("s")
                .slotsPerTarget(SLOTS)
                .requests(ImmutableList.of())
                .targets(configs.build())
                .build();
        dispatcher.configure(service, traits.buildOrThrow());
        return dispatcher;
    }

    private Call call() {
        return new Call(
                nextCall++,
                "",
                LOOKUP,
                Deadline.after(time, Duration.ofSeconds(2)),
                Deadline.after(time, Duration.ofMillis(600)));
    }

    /** Targets of {@code zone} report {@code load}, and the daemon gets a call now and then. */
    private void report(Dispatcher dispatcher, String zone, LoadReport load, Duration duration) {
        for (long i = 0; i < duration.dividedBy(REPORT_INTERVAL); i++) {
            time.advance(REPORT_INTERVAL);
            dispatcher.recordLoadReport(zone + nextReport++ % TARGETS_PER_ZONE, load);
            dispatcher.spill();
        }
    }

    private SpillVerdict.Spill spill(Dispatcher dispatcher) {
        return assertInstanceOf(SpillVerdict.Spill.class, dispatcher.spill());
    }

    private Assignment send(Dispatcher dispatcher) {
        return assertInstanceOf(Admission.Assigned.class, dispatcher.submit(call()))
                .assignment();
    }

    /** Sends a call as the daemon does, while near targets are full and those of other zones idle. */
    private Assignment probeAndSend(Dispatcher dispatcher) {
        Call call = call();
        for (int round = 0; round < 20; round++) {
            for (TargetConfig target : dispatcher.targetsToProbe(call, Set.of(), 4)) {
                dispatcher.recordLoadReport(target.id(), target.zone().equals("near") ? FULL : IDLE);
            }
        }
        return assertInstanceOf(Admission.Assigned.class, dispatcher.submit(call))
                .assignment();
    }

    private Set<String> farTargetsOf(Dispatcher dispatcher, int calls) {
        Set<String> far = new HashSet<>();
        for (int i = 0; i < calls; i++) {
            Assignment assignment = probeAndSend(dispatcher);
            if (!assignment.target().zone().equals("near")) {
                far.add(assignment.target().id());
            }
            dispatcher.finish(assignment, new CallResult.Answered(Optional.empty(), false));
        }
        return far;
    }

    /** Guards against any effect on a deployment whose zones have enough room. */
    @Test
    void withEnoughRoomEachChoiceIsTheSameAsWithoutSpill() {
        SplittableRandom steps = new SplittableRandom(5);
        Dispatcher with = configured(builder(new SplittableRandom(9)).spillAs("d"), "near", "far", "other");
        Dispatcher without = configured(builder(new SplittableRandom(9)), "near", "far", "other");
        List<Assignment> runningWith = new ArrayList<>();
        List<Assignment> runningWithout = new ArrayList<>();
        int sent = 0;
        for (int i = 0; i < 5_000; i++) {
            time.advance(Duration.ofMillis(steps.nextInt(20)));
            Call call = call();
            List<TargetConfig> probed = with.targetsToProbe(call, Set.of(), 4);
            assertEquals(probed, without.targetsToProbe(call, Set.of(), 4));
            // One report in four shows a target without room, for which near targets alone do not call for a share.
            LoadReport load = steps.nextInt(4) == 0 ? FULL : new LoadReport(steps.nextInt(2), 0, 1);
            probed.forEach(target -> with.recordLoadReport(target.id(), load));
            probed.forEach(target -> without.recordLoadReport(target.id(), load));
            Admission one = with.submit(call);
            Admission other = without.submit(call);
            if (other instanceof Admission.Assigned assigned) {
                runningWithout.add(assigned.assignment());
                runningWith.add(assertInstanceOf(Admission.Assigned.class, one).assignment());
                assertEquals(
                        runningWithout.getLast().target(), runningWith.getLast().target());
                sent++;
            } else {
                assertEquals(other, one);
                with.cancel(call);
                without.cancel(call);
            }
            if (runningWith.size() > 8) {
                CallResult answer = new CallResult.Answered(Optional.of(load), false);
                with.finish(runningWith.removeFirst(), answer);
                without.finish(runningWithout.removeFirst(), answer);
            }
            assertEquals(new SpillVerdict.Home(), with.spill());
        }
        assertTrue(sent > 4_000, "calls sent: " + sent);
    }

    @Test
    void theShareGrowsWhileNearTargetsHaveNoRoomAndEndsOnceTheyHave() {
        Dispatcher dispatcher = dispatcher("d", "near", "far");
        report(dispatcher, "near", FULL, Duration.ofSeconds(3));
        double early = spill(dispatcher).share();
        report(dispatcher, "near", FULL, Duration.ofSeconds(1));
        assertTrue(spill(dispatcher).share() > early);
        assertEquals(Set.of("far"), spill(dispatcher).zones());
        report(dispatcher, "near", IDLE, Duration.ofSeconds(4));
        assertEquals(new SpillVerdict.Home(), dispatcher.spill());
    }

    @Test
    void theShareEndsWhenReportsEnd() {
        Dispatcher dispatcher = dispatcher("d", "near", "far");
        report(dispatcher, "near", FULL, Duration.ofSeconds(3));
        for (int i = 0; i < 100; i++) {
            time.advance(Duration.ofMillis(100));
            dispatcher.spill();
        }
        assertEquals(new SpillVerdict.Home(), dispatcher.spill());
    }

    /** Guards against a share that follows each report, which would move calls back and forth. */
    @Test
    void theShareIsSteadyWhileAThirdOfTheNearTargetsHasRoom() {
        Dispatcher dispatcher = dispatcher("d", "near", "far");
        report(dispatcher, "near", FULL, Duration.ofSeconds(3));
        for (int i = 0; i < 40; i++) {
            report(dispatcher, "near", i % 3 == 0 ? IDLE : FULL, REPORT_INTERVAL);
        }
        double before = spill(dispatcher).share();
        for (int i = 0; i < 600; i++) {
            report(dispatcher, "near", i % 3 == 0 ? IDLE : FULL, REPORT_INTERVAL);
        }
        assertEquals(before, spill(dispatcher).share(), 0.05);
    }

    @Test
    void zonesWithoutRoomGetNoShare() {
        Dispatcher dispatcher = dispatcher("d", "near", "far", "other");
        for (int i = 0; i < 200; i++) {
            report(dispatcher, "near", FULL, REPORT_INTERVAL);
            report(dispatcher, "far", FULL, REPORT_INTERVAL);
        }
        assertEquals(Set.of("other"), spill(dispatcher).zones());
    }

    @Test
    void withoutRoomAnywhereNoShareIsSet() {
        Dispatcher dispatcher = dispatcher("d", "near", "far");
        for (int i = 0; i < 200; i++) {
            report(dispatcher, "near", FULL, REPORT_INTERVAL);
            report(dispatcher, "far", FULL, REPORT_INTERVAL);
        }
        assertEquals(new SpillVerdict.Home(), dispatcher.spill());
    }

    @Test
    void withoutTargetsInOtherZonesNoShareIsSet() {
        Dispatcher dispatcher = dispatcher("d", "near");
        report(dispatcher, "near", FULL, Duration.ofSeconds(4));
        assertEquals(new SpillVerdict.Home(), dispatcher.spill());
    }

    /** Guards against a new connection for nearly each call that leaves. */
    @Test
    void callsThatLeaveUseFewTargets() {
        Dispatcher dispatcher = dispatcher("d", "near", "far", "other");
        report(dispatcher, "near", FULL, Duration.ofSeconds(6));
        Set<String> used = farTargetsOf(dispatcher, 200);
        assertTrue(!used.isEmpty() && used.size() <= 4, used.toString());
    }

    /** Guards against calls that wait for the few far targets in use while others are idle. */
    @Test
    void moreFarTargetsAreUsedWhileThoseInUseAreFull() {
        Dispatcher dispatcher = dispatcher("d", "near", "far");
        report(dispatcher, "near", FULL, Duration.ofSeconds(6));
        Set<String> used = new HashSet<>();
        for (int i = 0; i < TARGETS_PER_ZONE; i++) {
            used.add(probeAndSend(dispatcher).target().id());
        }
        assertTrue(used.size() >= TARGETS_PER_ZONE / SLOTS, used.toString());
    }

    /** Guards against a call that waits because its earlier targets were the only ones that its share allows. */
    @Test
    void aCallThatFailedAtTheFarTargetsInUseGoesToOthers() {
        Dispatcher dispatcher = dispatcher("d", "near", "far");
        report(dispatcher, "near", FULL, Duration.ofSeconds(6));
        Set<String> failed = new HashSet<>(farTargetsOf(dispatcher, 100));
        for (int i = 0; i < TARGETS_PER_ZONE; i++) {
            failed.add("near" + i);
        }
        time.advance(Duration.ofSeconds(5));
        assertInstanceOf(Admission.Assigned.class, dispatcher.resubmit(call(), failed));
    }

    /** Guards against a herd: daemons of a zone that all decide at once must not prefer the same targets. */
    @Test
    void daemonsPreferDifferentFarTargets() {
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 30; i++) {
            Dispatcher dispatcher = dispatcher("d" + i, "near", "far", "other");
            report(dispatcher, "near", FULL, Duration.ofSeconds(6));
            used.addAll(farTargetsOf(dispatcher, 50));
        }
        assertTrue(used.size() > TARGETS_PER_ZONE, "targets used: " + used.size());
    }

    /** A lost or evacuated zone: far calls are the only ones, so no share limits them. */
    @Test
    void allCallsLeaveWhenNoNearTargetServes() {
        Dispatcher dispatcher = dispatcher("d", "near", "far");
        Set<String> leaving = new HashSet<>();
        for (int i = 0; i < TARGETS_PER_ZONE; i++) {
            leaving.add("10.0.0." + i);
        }
        dispatcher.setLeavingAddresses(leaving);
        assertInstanceOf(SpillVerdict.FarOnly.class, dispatcher.spill());
        for (int i = 0; i < TARGETS_PER_ZONE * 2; i++) {
            assertEquals("far", send(dispatcher).target().zone());
        }
        dispatcher.setLeavingAddresses(Set.of());
        assertNotEquals(new SpillVerdict.FarOnly(ImmutableSortedSet.of("far")), dispatcher.spill());
        assertEquals("near", send(dispatcher).target().zone());
    }
}
