package io.anvilpick.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.UUID;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks the whole path of a request, from the questionnaire to the target's answer, with separate processes. */
class WholePathTest {
    @TempDir
    static Path folder;

    private static TestSystem system;

    @BeforeAll
    static void start() throws Exception {
        system = new TestSystem(folder);
        system.startTargets(3);
        system.startDaemon();
        system.startDaemon();
        system.startDaemon();
        system.await(
                "platform", () -> system.get(system.platformAddress, "/v1/vms").status() == 200);
        system.accept(0, "");
        system.awaitReady();
        system.awaitChargesAccepted();
    }

    @AfterAll
    static void stop() {
        system.close();
    }

    private static TestSystem.Answer call(int daemon, String path, String... headers) throws Exception {
        return system.get(system.daemonAddresses.get(daemon), path, headers);
    }

    @Test
    void callerFetchesADaemonAddressAndItsCallIsAnsweredByATarget() throws Exception {
        TestSystem.Answer selected = call(0, "/anvilpick/v1/address?service=tillhand&zone=zone-1");
        assertEquals(200, selected.status());
        assertTrue(
                system.daemonAddresses.stream()
                        .anyMatch(address -> selected.body().contains(address)),
                selected.body());
        TestSystem.Answer answer = call(1, "/s/tillhand/tallies/7?row=3", "x-run-id", "mine");
        assertEquals(200, answer.status());
        assertTrue(answer.body().contains(" mine "), answer.body());
        assertEquals("ran", answer.header("anvilpick-outcome"));
    }

    @Test
    void chargeRepeatedAtAnyDaemonRunsOnceAndGetsTheFirstAnswer() throws Exception {
        String key = UUID.randomUUID().toString();
        TestSystem.Answer first = system.charge(0, key, "12 EUR");
        assertEquals(200, first.status(), first.body());
        for (int daemon = 0; daemon < 3; daemon++) {
            int currentDaemon = daemon;
            system.await(
                    "the stored answer",
                    () -> system.charge(currentDaemon, key, "12 EUR").status() == 200);
            TestSystem.Answer again = system.charge(daemon, key, "12 EUR");
            assertEquals(first.body(), again.body());
            assertEquals("true", again.header("anvilpick-replayed"));
        }
        assertEquals(1, system.runsOf(key));
    }

    @Test
    void sameKeyWithAnotherBodyIsAnError() throws Exception {
        String key = UUID.randomUUID().toString();
        system.charge(0, key, "12 EUR");
        TestSystem.Answer other = system.charge(1, key, "13 EUR");
        assertEquals(422, other.status());
        assertEquals("key_mismatch", other.header("anvilpick-error"));
        assertEquals(1, system.runsOf(key));
    }

    @Test
    void invalidInputIsReportedWithFieldAndReasonAndWithoutAStackTrace() throws Exception {
        assertEquals(404, call(0, "/s/nowhere/tallies").status());
        assertEquals(404, call(0, "/s/tillhand/unheard-of").status());
        TestSystem.Answer timeout = call(0, "/s/tillhand/tallies/1", "anvilpick-timeout-ms", "soon");
        assertEquals(400, timeout.status());
        assertTrue(timeout.body().contains("anvilpick-timeout-ms: 'soon'"), timeout.body());
        assertFalse(timeout.body().contains("Exception"), timeout.body());
        assertEquals("not_run", timeout.header("anvilpick-outcome"));
        assertEquals(400, call(0, "/anvilpick/v1/address").status());
        assertEquals(200, call(0, "/s/tillhand/tallies/1").status(), "the daemon continues to serve calls");
    }

    @Test
    void callWhoseDeadlineHasPassedIsNotSent() throws Exception {
        TestSystem.Answer answer = call(0, "/s/tillhand/tallies/1", "anvilpick-timeout-ms", "0");
        assertEquals(504, answer.status());
        assertEquals("not_run", answer.header("anvilpick-outcome"));
    }

    @Test
    void disconnectOfTheCallerCancelsTheCallAtTheTarget() throws Exception {
        for (int port : system.targetPorts) {
            system.get("127.0.0.1:" + port, "/admin/misbehave?slowness=600");
        }
        try {
            system.callAndDisconnect(0, "/s/tillhand/tallies/1");
            system.await("the call to be cancelled at a target", () -> {
                int cancelled = 0;
                for (int port : system.targetPorts) {
                    String counts =
                            system.get("127.0.0.1:" + port, "/admin/counts").body();
                    cancelled += counts.contains("cancelled=0") ? 0 : 1;
                }
                return cancelled > 0;
            });
        } finally {
            for (int port : system.targetPorts) {
                system.get("127.0.0.1:" + port, "/admin/misbehave?slowness=1");
            }
        }
    }

    @Test
    void metricsHaveLatencyQuantilesPerTenantAndRequest() throws Exception {
        call(0, "/s/tillhand/tallies/1", "anvilpick-tenant", "burgas");
        String metrics = call(0, "/anvilpick/v1/metrics").body();
        assertTrue(
                metrics.lines()
                        .anyMatch(line -> line.startsWith("anvilpick_call_microseconds")
                                && line.contains("request=\"tally\"")
                                && line.contains("tenant=\"burgas\"")
                                && line.contains("quantile=\"0.99\"")),
                metrics);
    }
}
