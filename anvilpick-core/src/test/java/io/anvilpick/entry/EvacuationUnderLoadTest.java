package io.anvilpick.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.anvilpick.entry.FleetSimulation.Daemon;
import io.anvilpick.entry.FleetSimulation.SimulatedTarget;
import io.anvilpick.error.ErrorKind;
import io.anvilpick.time.Deadline;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against calls and probes in an evacuated zone, and against a loss of calls that the other zones could bear. */
class EvacuationUnderLoadTest {
    private static final int DAEMONS = 60;
    private static final int TARGETS_PER_ZONE = 20;
    private static final int SLOTS = 3;
    private static final double ZONE_CAPACITY_PER_SECOND =
            TARGETS_PER_ZONE * SLOTS * 1e9 / FleetSimulation.WORK.toNanos();
    private static final Duration START = Duration.ZERO;
    private static final Duration CHANGE = Duration.ofSeconds(3);
    private static final Duration RETURN = Duration.ofSeconds(8);
    private static final Duration END = Duration.ofSeconds(11);
    private static final double URGENT_SHARE = 0.4;

    /** Tolerated loss of urgent calls against a fleet that never had the zone, for the time of the change. */
    private static final double TOLERATED_LOSS = 0.02;

    /** The bound of the requirement on the time until nothing new reaches the zone. */
    private static final Duration EVACUATE_WITHIN = Duration.ofSeconds(5);

    private final FleetSimulation fleet = new FleetSimulation(11);

    private void build() {
        build(fleet, "a", "b", "c");
    }

    private static void build(FleetSimulation built, String... targetZones) {
        built.configure(Optional.empty());
        for (String zone : targetZones) {
            built.addTargets(zone, TARGETS_PER_ZONE, SLOTS, new Deadline(0));
        }
        built.addDaemons(DAEMONS, "a", "b", "c");
    }

    private long arrivals(String zone, Duration from, Duration to) {
        long arrivals = 0;
        for (SimulatedTarget target : fleet.targets.values()) {
            if (target.config.zone().equals(zone)) {
                arrivals += within(target.callTimes, from, to) + within(target.probeTimes, from, to);
            }
        }
        return arrivals;
    }

    private static long within(Iterable<Long> times, Duration from, Duration to) {
        long count = 0;
        for (long nanos : times) {
            count += nanos >= from.toNanos() && nanos < to.toNanos() ? 1 : 0;
        }
        return count;
    }

    private static Duration knownAfter(Duration change) {
        return change.plus(FleetSimulation.MAX_DELIVERY);
    }

    @Test
    void nothingNewReachesTheZoneAndTheOthersBearItsCalls() {
        build();
        fleet.at(CHANGE, () -> fleet.evacuate("a"));
        fleet.at(RETURN, () -> fleet.endEvacuation("a"));
        fleet.addCalls(START, END, 1.6 * ZONE_CAPACITY_PER_SECOND, URGENT_SHARE);
        fleet.run();
        assertTrue(arrivals("a", START, CHANGE) > 0);
        assertEquals(0, arrivals("a", knownAfter(CHANGE), RETURN));
        assertTrue(arrivals("a", knownAfter(RETURN), END) > 0);
        assertTrue(fleet.shareInTime(FleetSimulation.URGENT) >= 0.98, this::report);
        assertTrue(fleet.shareInTime(FleetSimulation.DEFERRABLE) >= 0.95, this::report);
    }

    /** Guards against urgent calls that wait behind others once the capacity is too small. */
    @Test
    void urgentCallsGoFirstIfTheOtherZonesCannotBearAll() {
        build();
        fleet.at(CHANGE, () -> fleet.evacuate("a"));
        fleet.addCalls(START, CHANGE, 1.6 * ZONE_CAPACITY_PER_SECOND, URGENT_SHARE);
        fleet.addCalls(CHANGE, END, 2.5 * ZONE_CAPACITY_PER_SECOND, URGENT_SHARE);
        fleet.run();
        FleetSimulation twoZones = new FleetSimulation(11);
        build(twoZones, "b", "c");
        twoZones.addCalls(START, CHANGE, 1.6 * ZONE_CAPACITY_PER_SECOND, URGENT_SHARE);
        twoZones.addCalls(CHANGE, END, 2.5 * ZONE_CAPACITY_PER_SECOND, URGENT_SHARE);
        twoZones.run();
        assertEquals(0, arrivals("a", knownAfter(CHANGE), END.plusSeconds(5)));
        double urgent = fleet.shareInTime(FleetSimulation.URGENT);
        assertTrue(urgent > fleet.shareInTime(FleetSimulation.DEFERRABLE), this::report);
        double withoutTheZone = twoZones.shareInTime(FleetSimulation.URGENT);
        assertTrue(urgent >= withoutTheZone - TOLERATED_LOSS, () -> report() + " two_zones=" + withoutTheZone);
    }

    @Test
    void oneZoneServesWhileTwoAreEvacuated() {
        build();
        fleet.at(CHANGE, () -> {
            fleet.evacuate("a");
            fleet.evacuate("b");
        });
        fleet.addCalls(START, END, 0.7 * ZONE_CAPACITY_PER_SECOND, URGENT_SHARE);
        fleet.run();
        assertEquals(0, arrivals("a", knownAfter(CHANGE), END));
        assertEquals(0, arrivals("b", knownAfter(CHANGE), END));
        assertTrue(fleet.shareInTime(FleetSimulation.URGENT) >= 0.98, this::report);
    }

    /** Guards against calls that wait until their deadline although no zone can serve them. */
    @Test
    void callsAreRefusedAtOnceWhileAllZonesAreEvacuated() {
        build();
        fleet.at(CHANGE, () -> {
            fleet.evacuate("a");
            fleet.evacuate("b");
            fleet.evacuate("c");
        });
        fleet.addCalls(knownAfter(CHANGE), END, ZONE_CAPACITY_PER_SECOND, URGENT_SHARE);
        fleet.run();
        int calls = fleet.calls.values().stream().mapToInt(Integer::intValue).sum();
        assertEquals(calls, fleet.refused(ErrorKind.ZONES_EVACUATED));
        assertEquals(0, arrivals("a", START, END) + arrivals("b", START, END) + arrivals("c", START, END));
    }

    /** Guards against a daemon that forgets an evacuation, or one that restarts into it and uses the zone. */
    @Test
    void evacuationHoldsAtDaemonsThatRestartOrLoseTheStore() {
        build();
        fleet.at(CHANGE, () -> fleet.evacuate("a"));
        Duration outage = knownAfter(CHANGE);
        for (int i = 0; i < DAEMONS; i++) {
            Daemon daemon = fleet.daemons.get(i);
            if (i % 3 == 0) {
                fleet.at(outage.plusMillis(40L * i), daemon::restart);
            } else if (i % 3 == 1) {
                fleet.at(outage, () -> {
                    daemon.reachesStore = false;
                    daemon.state.onStoreUnavailable("cut off");
                });
                fleet.at(RETURN.minusMillis(500), daemon::reconnect);
            }
        }
        fleet.addCalls(START, END, 1.5 * ZONE_CAPACITY_PER_SECOND, URGENT_SHARE);
        fleet.run();
        assertEquals(0, arrivals("a", outage, END));
        assertTrue(fleet.shareInTime(FleetSimulation.URGENT) >= 0.97, this::report);
    }

    /** Guards against a zone that stays evacuated at a daemon that missed the deletion of the key. */
    @Test
    void fullReadWithoutTheKeyReturnsTheZoneAtADaemonThatWasCutOff() {
        build();
        Daemon daemon = fleet.daemons.getFirst();
        fleet.at(CHANGE, () -> fleet.evacuate("a"));
        fleet.at(knownAfter(CHANGE), () -> daemon.reachesStore = false);
        fleet.at(RETURN, () -> fleet.endEvacuation("a"));
        fleet.at(
                knownAfter(RETURN),
                () -> assertEquals(1, daemon.state.view().evacuatedZones().size()));
        fleet.at(knownAfter(RETURN), daemon::reconnect);
        fleet.run();
        assertEquals(0, daemon.state.view().evacuatedZones().size());
    }

    @Test
    void deliveryInTheSimulationIsWithinTheBound() {
        assertTrue(FleetSimulation.MAX_DELIVERY.compareTo(EVACUATE_WITHIN) < 0);
    }

    private String report() {
        return "urgent=%.4f deferrable=%.4f calls=%s refusals=%s"
                .formatted(
                        fleet.shareInTime(FleetSimulation.URGENT),
                        fleet.shareInTime(FleetSimulation.DEFERRABLE),
                        fleet.calls,
                        fleet.refusals);
    }
}
