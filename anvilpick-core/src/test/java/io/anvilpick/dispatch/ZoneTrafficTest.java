package io.anvilpick.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.anvilpick.dispatch.ZoneTrafficReplay.Result;
import io.anvilpick.dispatch.ZoneTrafficReplay.Scenario;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Compares the share of calls that leaves a zone with the placement of each call on its own. A third of the second customer's size;
 * the decisions of 112 daemons at once at the full size.
 */
class ZoneTrafficTest {
    private static final int SCALE = 3;
    private static final long SEED = 1;

    /** Share of calls answered within the goal by which two replays may differ by chance. */
    private static final double TOLERANCE = 0.005;

    /** Largest change of a zone's mean share within a second that does not count as oscillation. */
    private static final double MAX_CHANGE_PER_SECOND = 0.15;

    private static final int SETTLED_SECOND = 6;

    private final ZoneTrafficScenarios scenarios = new ZoneTrafficScenarios(SCALE);

    private static ZoneTrafficReplay withSpill(Scenario scenario) {
        return new ZoneTrafficReplay(
                scenario, (builder, daemon) -> builder.spillAs(daemon).build(), SEED);
    }

    private static Result withoutSpill(Scenario scenario) {
        return new ZoneTrafficReplay(scenario, (builder, daemon) -> builder.build(), SEED).run();
    }

    private static void assertNoFewerInGoalAndFewerConnections(Scenario scenario) {
        Result with = withSpill(scenario).run();
        Result without = withoutSpill(scenario);
        String figures = scenario.name() + "\n  with: " + with + "\n  without: " + without;
        assertTrue(with.inGoal() >= without.inGoal() - TOLERANCE, figures);
        assertTrue(with.newConnections() < without.newConnections(), figures);
    }

    @Test
    void withEnoughRoomNothingDiffers() {
        Result with = withSpill(scenarios.calm()).run();
        assertEquals(withoutSpill(scenarios.calm()).toString(), with.toString());
        assertEquals(0, with.far());
    }

    @Test
    void aZoneWithTooFewTargetsUsesFewerConnections() {
        assertNoFewerInGoalAndFewerConnections(scenarios.tooFewTargets());
    }

    @Test
    void anIdleFarZoneIsUsedWithFewerConnections() {
        assertNoFewerInGoalAndFewerConnections(scenarios.idleFarZone());
    }

    @Test
    void aLostZoneUsesFewerConnectionsAndTakesItsCallsBack() {
        assertNoFewerInGoalAndFewerConnections(scenarios.lostZone());
        double[] far = withSpill(scenarios.lostZone()).run().farBySecond();
        assertEquals(0, far[far.length - 1], 0.01);
    }

    /** Guards against bytes between zones because of noise that probes avoid. */
    @Test
    void aZoneThatIsSlowForMomentsKeepsItsCalls() {
        Result with = withSpill(scenarios.noiseInOneZone()).run();
        assertTrue(with.far() < 0.01, with.toString());
    }

    @Test
    void demandInWavesIsAnsweredInTime() {
        Result with = withSpill(scenarios.waves()).run();
        assertTrue(with.inGoal() >= withoutSpill(scenarios.waves()).inGoal() - TOLERANCE, with.toString());
    }

    /** Guards against calls that move back and forth as reports arrive. */
    @Test
    void theShareIsSteadyUnderSteadyLoad() {
        ZoneTrafficReplay replay = withSpill(scenarios.tooFewTargets());
        List<Double> shares = new ArrayList<>();
        replay.observe(Duration.ofSeconds(1), () -> shares.add(meanShare(replay.dispatchersOf(1))));
        replay.run();
        assertTrue(shares.getLast() > 0, shares.toString());
        for (int i = SETTLED_SECOND; i < shares.size(); i++) {
            assertEquals(shares.get(i - 1), shares.get(i), MAX_CHANGE_PER_SECOND, shares.toString());
        }
    }

    /** Guards against a herd: all daemons of a zone decide within the same second. */
    @Test
    void ofManyDaemonsThatDecideAtOnceSomeUseEachZone() {
        Scenario scenario = new ZoneTrafficScenarios(1).earlyStepInOneZone();
        Result with = withSpill(scenario).run();
        int first = with.farByZonePair().getOrDefault("z0>z1", 0);
        int second = with.farByZonePair().getOrDefault("z0>z2", 0);
        assertTrue(
                Math.min(first, second) * 4 > first + second,
                with.farByZonePair().toString());
        assertEquals(0, with.rejectedFar());
        assertEquals(0, with.farBySecond()[scenario.seconds() - 1], 0.01);
    }

    private static double meanShare(List<Dispatcher> dispatchers) {
        return dispatchers.stream()
                .mapToDouble(dispatcher -> dispatcher.spill() instanceof SpillVerdict.Spill some ? some.share() : 0)
                .average()
                .orElse(0);
    }
}
