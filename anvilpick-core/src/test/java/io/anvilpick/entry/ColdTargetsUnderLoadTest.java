package io.anvilpick.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.anvilpick.entry.FleetSimulation.Daemon;
import io.anvilpick.entry.FleetSimulation.SimulatedTarget;
import io.anvilpick.fleet.FleetChange;
import io.anvilpick.routes.ColdStart;
import io.anvilpick.time.Deadline;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against cold targets that crash because many daemons, each with few calls, send them more than they bear together. */
class ColdTargetsUnderLoadTest {
    private static final int DAEMONS = 60;
    private static final int TARGETS_PER_ZONE = 40;
    private static final int SLOTS = 3;
    private static final double ZONE_CAPACITY_PER_SECOND =
            TARGETS_PER_ZONE * SLOTS * 1e9 / FleetSimulation.WORK.toNanos();
    private static final double COLD_PER_SECOND = 3.4;

    /** The bound of the requirement on the calls in any second: 1.5 times the rate and a slack of 8. */
    private static final double MAX_IN_A_SECOND = COLD_PER_SECOND * 1.5 + 8;

    /** The bound of one owner: its rate, and a burst of one call. */
    private static final double MAX_OF_ONE_OWNER = COLD_PER_SECOND + 1;

    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final Duration START = Duration.ZERO;
    private static final Duration END = Duration.ofSeconds(6);

    /** The end of an overload, whose many waiting calls make the simulation slow. */
    private static final Duration OVERLOAD_END = Duration.ofSeconds(4);

    private static final Duration WARM_UP = Duration.ofSeconds(20);
    private static final double URGENT_SHARE = 0.4;

    /** A load that the two warm zones bear. */
    private static final double BEARABLE_PER_SECOND = 1.5 * ZONE_CAPACITY_PER_SECOND;

    /** A load beyond the two warm zones, so that cold targets are used, too. */
    private static final double EXCESSIVE_PER_SECOND = 2.3 * ZONE_CAPACITY_PER_SECOND;

    private final FleetSimulation fleet = new FleetSimulation(12);

    private void build(Deadline warmAtOfZoneA) {
        fleet.configure(Optional.of(new ColdStart(WARM_UP, COLD_PER_SECOND)));
        fleet.addTargets("a", TARGETS_PER_ZONE, SLOTS, warmAtOfZoneA);
        fleet.addTargets("b", TARGETS_PER_ZONE, SLOTS, new Deadline(0));
        fleet.addTargets("c", TARGETS_PER_ZONE, SLOTS, new Deadline(0));
        fleet.addDaemons(DAEMONS, "a", "b", "c");
    }

    private void buildWithColdZone() {
        build(new Deadline(WARM_UP.toNanos()));
    }

    private List<SimulatedTarget> zoneA() {
        return fleet.targets.values().stream()
                .filter(target -> target.config.zone().equals("a"))
                .toList();
    }

    /** Returns the most calls of any sliding second from {@code from} to {@code to} at any one target of zone a. */
    private int mostInASecond(Duration from, Duration to) {
        int most = 0;
        for (SimulatedTarget target : zoneA()) {
            List<Long> times = target.callTimes.stream()
                    .filter(nanos -> nanos >= from.toNanos() && nanos < to.toNanos())
                    .toList();
            int first = 0;
            for (int last = 0; last < times.size(); last++) {
                while (times.get(last) - times.get(first) >= SECOND_NANOS) {
                    first++;
                }
                most = Math.max(most, last - first + 1);
            }
        }
        return most;
    }

    private int callsInZoneA(Duration from, Duration to) {
        return zoneA().stream()
                .mapToInt(target -> (int) target.callTimes.stream()
                        .filter(nanos -> nanos >= from.toNanos() && nanos < to.toNanos())
                        .count())
                .sum();
    }

    @Test
    void warmZonesServeWhileAZoneIsCold() {
        buildWithColdZone();
        fleet.addCalls(START, END, BEARABLE_PER_SECOND, URGENT_SHARE);
        fleet.run();
        assertTrue(mostInASecond(START, WARM_UP) <= MAX_OF_ONE_OWNER, this::report);
        assertTrue(fleet.shareInTime(FleetSimulation.URGENT) >= 0.97, this::report);
        assertTrue(fleet.shareInTime(FleetSimulation.DEFERRABLE) >= 0.95, this::report);
    }

    @Test
    void ownersKeepToTheRateUnderOverload() {
        buildWithColdZone();
        fleet.addCalls(START, OVERLOAD_END, EXCESSIVE_PER_SECOND, URGENT_SHARE);
        fleet.run();
        assertTrue(callsInZoneA(START, END) > 0, this::report);
        assertTrue(mostInASecond(START, WARM_UP) <= MAX_OF_ONE_OWNER, this::report);
    }

    /** Guards against twice the calls and more while the views of the daemons differ. */
    @Test
    void twoOwnersAtOnceKeepToTheBound() {
        buildWithColdZone();
        fleet.at(Duration.ofSeconds(1), () -> {
            List<FleetChange> removals = new ArrayList<>();
            for (int i = 0; i < DAEMONS; i += 2) {
                removals.add(new FleetChange.MemberRemoved("daemon-" + i));
            }
            for (int i = 1; i < DAEMONS; i += 2) {
                fleet.daemons.get(i).state.apply(removals);
            }
        });
        fleet.addCalls(START, OVERLOAD_END, EXCESSIVE_PER_SECOND, URGENT_SHARE);
        fleet.run();
        assertTrue(mostInASecond(START, WARM_UP) <= MAX_IN_A_SECOND, this::report);
    }

    /** Guards against a burst of the owner at each of its starts. */
    @Test
    void restartsOfTheOwnersBringNoExtraCall() {
        buildWithColdZone();
        for (int i = 0; i < DAEMONS; i++) {
            Daemon daemon = fleet.daemons.get(i);
            for (int restart = 1; restart < 14; restart++) {
                fleet.at(Duration.ofMillis(300L * restart + 5L * i), daemon::restart);
            }
        }
        fleet.addCalls(START, OVERLOAD_END, EXCESSIVE_PER_SECOND, URGENT_SHARE);
        fleet.run();
        assertTrue(mostInASecond(START, WARM_UP) <= MAX_OF_ONE_OWNER, this::report);
    }

    /** Guards against a zone whose targets get all of its calls as soon as it has returned from evacuation. */
    @Test
    void zoneIsColdAfterItsEvacuation() {
        build(new Deadline(0));
        Duration returned = Duration.ofSeconds(3);
        fleet.at(Duration.ofMillis(500), () -> fleet.evacuate("a"));
        fleet.at(returned, () -> fleet.endEvacuation("a"));
        fleet.addCalls(START, END, BEARABLE_PER_SECOND, URGENT_SHARE);
        fleet.run();
        assertTrue(mostInASecond(returned, returned.plus(WARM_UP)) <= MAX_OF_ONE_OWNER, this::report);
    }

    @Test
    void zoneServesAfterItsEvacuationOnceItsTargetsReportThatTheyAreWarm() {
        build(new Deadline(0));
        Duration returned = Duration.ofSeconds(2);
        zoneA().forEach(target -> target.statedWarmAt = Optional.of(new Deadline(0)));
        fleet.at(Duration.ofMillis(500), () -> fleet.evacuate("a"));
        fleet.at(returned, () -> fleet.endEvacuation("a"));
        fleet.addCalls(START, END, BEARABLE_PER_SECOND, URGENT_SHARE);
        fleet.run();
        int calls = callsInZoneA(returned.plusSeconds(2), END);
        assertTrue(calls > 2 * TARGETS_PER_ZONE * COLD_PER_SECOND, () -> "calls=" + calls + " " + report());
    }

    /** Guards against a limit where the configuration has none. */
    @Test
    void registeredWarmUpDoesNotLimitCallsWithoutAColdStart() {
        buildWithColdZone();
        fleet.configure(Optional.empty());
        fleet.daemons.forEach(Daemon::restart);
        fleet.addCalls(START, OVERLOAD_END, EXCESSIVE_PER_SECOND, URGENT_SHARE);
        fleet.run();
        assertTrue(mostInASecond(START, END) > MAX_OF_ONE_OWNER, this::report);
    }

    @Test
    void eachTargetHasOneOwnerAmongTheMembersOfItsZone() {
        buildWithColdZone();
        Daemon any = fleet.daemons.getFirst();
        ColdOwners owners = new ColdOwners(any.state.view().members());
        var targets = any.state.view().targets().get(FleetSimulation.SERVICE);
        int owned = 0;
        for (Daemon daemon : fleet.daemons) {
            for (String id : owners.ownedBy(daemon.name, targets)) {
                owned++;
                assertEquals(daemon.zone, fleet.targets.get(id).config.zone());
            }
        }
        assertEquals(3 * TARGETS_PER_ZONE, owned);
    }

    private String report() {
        return "most_in_a_second=%d calls_in_a=%d urgent=%.4f deferrable=%.4f calls=%s refusals=%s"
                .formatted(
                        mostInASecond(START, WARM_UP),
                        callsInZoneA(START, WARM_UP),
                        fleet.shareInTime(FleetSimulation.URGENT),
                        fleet.shareInTime(FleetSimulation.DEFERRABLE),
                        fleet.calls,
                        fleet.refusals);
    }
}
