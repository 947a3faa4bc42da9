package io.anvilpick.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Charges run at most once and keep flowing while daemons die, sleep and the platform is down. */
class ClaimsUnderFailureTest {
    private static final int DAEMONS = 5;

    @TempDir
    Path folder;

    private TestSystem start(int targets, String... targetFlags) throws Exception {
        TestSystem system = new TestSystem(folder);
        system.startTargets(targets, targetFlags);
        for (int i = 0; i < DAEMONS; i++) {
            system.startDaemon();
        }
        system.await(
                "platform", () -> system.get(system.platformAddress, "/v1/vms").status() == 200);
        system.accept(0, "");
        system.awaitReady();
        system.await("claim map of five replicas", () -> system.status(0).split("\"live\"").length == DAEMONS + 1);
        system.awaitClaims();
        return system;
    }

    @Test
    void chargesGoOnWithoutThePlatformAfterTwoDaemonsAreLost() throws Exception {
        try (TestSystem system = start(3)) {
            system.await(
                    "all replicas in every group",
                    () -> system.get(system.platformAddress, "/v1/kv?key=claims/" + TestSystem.REGION + "/map")
                            .body()
                            .contains("\\\"epoch\\\":"));
            String before = UUID.randomUUID().toString();
            assertEquals(200, system.charge(4, before, "12 EUR").status());
            system.await("kept answer", () -> system.charge(3, before, "12 EUR").status() == 200);
            awaitFiveReplicas(system);
            system.platformFaults("down=true");
            system.daemons.get(3).kill();
            system.daemons.get(4).kill();
            int served = 0;
            for (int i = 0; i < 50; i++) {
                String key = UUID.randomUUID().toString();
                TestSystem.Answer answer = system.charge(i % 3, key, "12 EUR");
                served += answer.status() == 200 ? 1 : 0;
                assertEquals(answer.status() == 200 ? 1 : 0, system.runsOf(key), answer.body());
            }
            assertEquals(50, served);
            TestSystem.Answer again = system.charge(0, before, "12 EUR");
            assertEquals(200, again.status(), again.body());
            assertEquals("true", again.header("anvilpick-replayed"));
            assertEquals(1, system.runsOf(before));
        }
    }

    @Test
    void withoutAMajorityChargesAreRefusedAsNotRunAndTrulyDidNotRun() throws Exception {
        try (TestSystem system = start(2)) {
            awaitFiveReplicas(system);
            system.platformFaults("down=true");
            for (int i = 2; i < DAEMONS; i++) {
                system.daemons.get(i).kill();
            }
            for (int i = 0; i < 5; i++) {
                String key = UUID.randomUUID().toString();
                TestSystem.Answer answer = system.charge(i % 2, key, "12 EUR");
                assertEquals(503, answer.status(), answer.body());
                assertEquals("not_run", answer.header("anvilpick-outcome"));
                assertEquals(0, system.runsOf(key));
            }
            assertEquals(
                    200,
                    system.get(system.daemonAddresses.get(0), "/s/tillhand/tallies/1")
                            .status(),
                    "lookups go on");
        }
    }

    @Test
    void daemonKilledInFlightLeavesUnknownAndNoSecondRun() throws Exception {
        try (TestSystem system = start(2, "--write-ms", "2000")) {
            awaitFiveReplicas(system);
            String key = UUID.randomUUID().toString();
            Thread caller = Thread.startVirtualThread(() -> {
                try {
                    system.charge(0, key, "12 EUR");
                } catch (Exception e) {
                    // The daemon dies under this call.
                    Thread.currentThread().interrupt();
                }
            });
            system.await("the charge to reach a target", () -> system.runsOf(key) == 1);
            system.daemons.get(0).kill();
            caller.join();
            TestSystem.Answer again = system.charge(1, key, "12 EUR");
            assertEquals(409, again.status(), again.body());
            assertEquals("unknown", again.header("anvilpick-outcome"));
            assertEquals(1, system.runsOf(key));
        }
    }

    @Test
    void daemonThatSleptAndWokeDoesNotRunWhatOthersClaimed() throws Exception {
        try (TestSystem system = start(2)) {
            awaitFiveReplicas(system);
            system.daemons.get(4).signal("STOP");
            system.await("the sleeper to be suspect", () -> system.status(0).contains("\"suspect\""));
            String key = UUID.randomUUID().toString();
            assertEquals(200, system.charge(0, key, "12 EUR").status());
            system.daemons.get(4).signal("CONT");
            system.await(
                    "an answer of the sleeper",
                    () -> system.charge(4, key, "12 EUR").status() == 200);
            assertEquals("true", system.charge(4, key, "12 EUR").header("anvilpick-replayed"));
            assertEquals(1, system.runsOf(key));
        }
    }

    @Test
    void requestThatCrashesTargetsTakesTwoAndNoMore() throws Exception {
        try (TestSystem system = start(5)) {
            awaitFiveReplicas(system);
            TestSystem.Answer answer = null;
            for (int i = 0; i < 10; i++) {
                answer = system.get(system.daemonAddresses.get(i % DAEMONS), "/s/tillhand/tallies/1?crash=yes");
            }
            assertEquals(422, answer.status(), answer.body());
            assertEquals("crashing_request", answer.header("anvilpick-error"));
            assertEquals(2, dead(system));
            for (int i = 0; i < DAEMONS; i++) {
                assertEquals(
                        200,
                        system.get(system.daemonAddresses.get(i), "/s/tillhand/tallies/1")
                                .status(),
                        "an innocent request is served");
            }
            assertTrue(system.targets.stream().anyMatch(RunningProcess::isAlive));
        }
    }

    /** All that run at the same instant are lost, since nobody can know yet; no later one is. */
    @Test
    void requestThatCrashesTargetsAndIsSentToAllDaemonsAtOnceKillsNoneLater() throws Exception {
        try (TestSystem system = start(DAEMONS + 3)) {
            awaitFiveReplicas(system);
            List<Thread> callers = new ArrayList<>();
            for (String address : system.daemonAddresses) {
                callers.add(Thread.startVirtualThread(() -> {
                    try {
                        system.get(address, "/s/tillhand/tallies/1?crash=yes");
                    } catch (IOException | InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                }));
            }
            for (Thread caller : callers) {
                caller.join();
            }
            long deadAtOnce = dead(system);
            assertTrue(deadAtOnce <= DAEMONS + 1, () -> deadAtOnce + " of " + system.targets.size() + " died");
            for (int i = 0; i < 2 * DAEMONS; i++) {
                TestSystem.Answer answer =
                        system.get(system.daemonAddresses.get(i % DAEMONS), "/s/tillhand/tallies/1?crash=yes");
                assertEquals("crashing_request", answer.header("anvilpick-error"), answer.body());
            }
            assertEquals(deadAtOnce, dead(system));
            assertEquals(
                    200,
                    system.get(system.daemonAddresses.get(0), "/s/tillhand/tallies/1")
                            .status());
        }
    }

    private static long dead(TestSystem system) {
        return system.targets.stream().filter(target -> !target.isAlive()).count();
    }

    /** The map settles once every daemon is a replica of every group, since there are as many as replicas. */
    private static void awaitFiveReplicas(TestSystem system) throws Exception {
        for (String address : system.daemonAddresses) {
            system.await("replicas at " + address, () -> {
                String map = system.get(system.platformAddress, "/v1/kv?key=claims/" + TestSystem.REGION + "/map")
                        .body();
                return map.split(address + "#", -1).length == 65;
            });
        }
        String version = versionOf(system.get(system.platformAddress, "/v1/kv?key=claims/" + TestSystem.REGION + "/map")
                .body()
                .replace("\\", ""));
        for (int i = 0; i < system.daemons.size(); i++) {
            int daemon = i;
            system.await(
                    "claim map " + version + " at daemon " + i,
                    () -> system.status(daemon).contains("\"claimMapVersion\":" + version));
        }
    }

    private static String versionOf(String map) {
        return map.replaceAll("(?s).*\"version\":(\\d+).*", "$1");
    }
}
