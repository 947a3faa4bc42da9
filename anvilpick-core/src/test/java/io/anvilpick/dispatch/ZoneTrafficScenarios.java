package io.anvilpick.dispatch;

import com.google.common.collect.ImmutableList;
import io.anvilpick.dispatch.ZoneTrafficReplay.Demand;
import io.anvilpick.dispatch.ZoneTrafficReplay.Scenario;
import java.time.Duration;
import java.util.Arrays;

/** The loads that the traffic between zones is judged by, at the size of the second customer. */
final class ZoneTrafficScenarios {
    private static final int[] TARGETS = {99, 81, 98};
    private static final int[] DAEMONS = {37, 38, 37};
    private static final double[] USUAL_NOISE = {0.25, 0.25, 0.25};
    private static final double[] NOISE_IN_ONE_ZONE = {0.3, 0, 0};
    private static final double CALLS_PER_SECOND = 690;
    private static final double WAVE = 0.55;
    private static final double WAVE_PERIOD_SECONDS = 13;
    private static final Duration ONE_WAY = Duration.ofMillis(3);
    private static final int SECONDS = 26;
    private static final int NO_ZONE = -1;

    private final int[] targets;
    private final int[] daemons;
    private final double callsPerSecond;

    /** Creates loads at one in {@code scale} of the customer's targets, daemons and calls. */
    ZoneTrafficScenarios(int scale) {
        targets = Arrays.stream(TARGETS).map(each -> each / scale).toArray();
        daemons = Arrays.stream(DAEMONS).map(each -> each / scale).toArray();
        callsPerSecond = CALLS_PER_SECOND / scale;
    }

    ImmutableList<Scenario> all() {
        return ImmutableList.of(
                calm(), tooFewTargets(), waves(), noiseInOneZone(), lostZone(), idleFarZone(), stepInOneZone());
    }

    /** Enough room in every zone. */
    Scenario calm() {
        return scenario(
                "calm",
                USUAL_NOISE,
                (zone, second) -> callsPerSecond
                        * 0.75
                        * targets[zone]
                        / Arrays.stream(targets).sum());
    }

    /** The zone with the fewest targets gets more calls than it can take. */
    Scenario tooFewTargets() {
        double[] shares = {0.25, 0.5, 0.25};
        return scenario("too_few", USUAL_NOISE, (zone, second) -> callsPerSecond * shares[zone]);
    }

    Scenario waves() {
        return scenario("waves", USUAL_NOISE, (zone, second) -> {
            double phase = 2 * Math.PI * (second / WAVE_PERIOD_SECONDS + zone / 3.0);
            return callsPerSecond / 3 * (1 + WAVE * Math.sin(phase));
        });
    }

    Scenario noiseInOneZone() {
        return scenario("noise", NOISE_IN_ONE_ZONE, (zone, second) -> callsPerSecond / 3);
    }

    Scenario lostZone() {
        Demand demand = (zone, second) -> callsPerSecond * 0.75 / 3;
        return new Scenario("lost", targets, daemons, USUAL_NOISE, demand, ONE_WAY, SECONDS, 0, 8, 16);
    }

    /** Two zones with too much load, and one without any. */
    Scenario idleFarZone() {
        double[] shares = {0.5, 0.5, 0};
        return scenario("idle_far", USUAL_NOISE, (zone, second) -> callsPerSecond * 1.1 * shares[zone]);
    }

    /** The load of one zone rises within a moment, so that all of its daemons decide at once. */
    Scenario stepInOneZone() {
        return scenario("step", USUAL_NOISE, (zone, second) -> {
            boolean burst = zone == 0 && second >= 8 && second < 13;
            return callsPerSecond * 0.75 / 3 * (burst ? 2.6 : 1);
        });
    }

    /** As {@link #stepInOneZone}, shorter and earlier. */
    Scenario earlyStepInOneZone() {
        Demand demand =
                (zone, second) -> callsPerSecond * 0.75 / 3 * (zone == 0 && second >= 2 && second < 5 ? 2.6 : 1);
        return new Scenario("early_step", targets, daemons, USUAL_NOISE, demand, ONE_WAY, 13, NO_ZONE, 0, 0);
    }

    private Scenario scenario(String name, double[] noise, Demand demand) {
        return new Scenario(name, targets, daemons, noise, demand, ONE_WAY, SECONDS, NO_ZONE, 0, 0);
    }
}
