package io.anvilpick.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Checks that every caller gets the complete answer to its own request, or an error with the correct outcome. Answers
 * are truncated by a target, requested by many callers at once, or held in memory for slow callers.
 */
class AnswersTest {
    private static final int MEGABYTE = 1024 * 1024;
    private static final int CALLERS = 200;

    @TempDir
    Path folder;

    private TestSystem startDaemonFor(TestSystem system, String... flags) throws Exception {
        system.await(
                "platform", () -> system.get(system.platformAddress, "/v1/vms").status() == 200);
        system.startDaemon(flags);
        system.accept(0, "");
        system.awaitReady();
        return system;
    }

    @Test
    void truncatedAnswerIsNeverForwardedAsComplete() throws Exception {
        String truncated =
                "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 100\r\n\r\nonly the first half";
        int port = TestSystem.freePort();
        try (RawTarget truncatingTarget = RawTarget.start(port, truncated);
                TestSystem system = new TestSystem(folder)) {
            system.targetPorts.add(port);
            startDaemonFor(system);
            TestSystem.Answer lookup = system.get(system.daemonAddresses.get(0), "/s/tillhand/tallies/1");
            assertAnswerCut(lookup);
            system.await(
                    "claims to be available",
                    () -> system.charge(0, UUID.randomUUID().toString(), "12 EUR")
                                    .status()
                            != 503);
            String key = UUID.randomUUID().toString();
            int before = truncatingTarget.requests();
            assertAnswerCut(system.charge(0, key, "12 EUR"));
            assertEquals(before + 1, truncatingTarget.requests(), "a charge is sent once");
            TestSystem.Answer again = system.charge(0, key, "12 EUR");
            assertEquals("key_outcome_unknown", again.header("anvilpick-error"), again.body());
            assertEquals(before + 1, truncatingTarget.requests(), "and not sent again under its key");
        }
    }

    private static void assertAnswerCut(TestSystem.Answer answer) {
        assertEquals(502, answer.status(), answer.body());
        assertEquals("answer_cut", answer.header("anvilpick-error"));
        assertEquals("unknown", answer.header("anvilpick-outcome"));
        assertFalse(answer.body().contains("only the first half"));
    }

    @ParameterizedTest
    @EnumSource(HttpClient.Version.class)
    void everyCallerGetsItsOwnAnswer(HttpClient.Version version) throws Exception {
        try (TestSystem system = new TestSystem(folder);
                HttpClient client = HttpClient.newBuilder().version(version).build()) {
            system.startTargets(3);
            startDaemonFor(system);
            List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                HttpRequest request = HttpRequest.newBuilder(
                                URI.create("http://" + system.daemonAddresses.get(0) + "/s/tillhand/tallies/" + i))
                        .header("x-run-id", "caller-" + i)
                        .timeout(Duration.ofSeconds(30))
                        .build();
                answers.add(client.sendAsync(request, HttpResponse.BodyHandlers.ofString()));
            }
            for (int i = 0; i < CALLERS; i++) {
                HttpResponse<String> answer = answers.get(i).join();
                assertEquals(200, answer.statusCode(), answer.body());
                assertTrue(answer.body().contains(" caller-" + i + " "), answer.body());
                assertEquals(version, answer.version());
            }
        }
    }

    @Test
    void largeBodiesAreForwardedCompletelyAndTooLargeOnesAreRefusedAsNotRun() throws Exception {
        try (TestSystem system = new TestSystem(folder)) {
            system.startTargets(1);
            startDaemonFor(system);
            system.awaitChargesAccepted();
            String body = "0123456789abcdef".repeat(5 * MEGABYTE / 16);
            TestSystem.Answer answer = system.charge(0, UUID.randomUUID().toString(), body);
            assertEquals(200, answer.status());
            assertTrue(answer.body().endsWith(body), "the target echoes the request body");
            String key = UUID.randomUUID().toString();
            TestSystem.Answer refused = system.charge(0, key, "x".repeat(9 * MEGABYTE));
            assertEquals(413, refused.status(), refused.body());
            assertEquals(0, system.runsOf(key));
        }
    }

    @Test
    void daemonRefusesNewCallsAsNotRunWhenSlowCallersFillItsMemoryBudget() throws Exception {
        try (TestSystem system = new TestSystem(folder)) {
            system.startTargets(1);
            startDaemonFor(system, "--held-megabytes", "24");
            system.awaitChargesAccepted();
            String address = system.daemonAddresses.get(0);
            List<Socket> slow = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                slow.add(callWithoutReadingTheAnswer(address, 7 * MEGABYTE));
            }
            system.await("the daemon to be full", () -> {
                TestSystem.Answer answer = system.get(address, "/s/tillhand/tallies/1");
                return answer.status() == 503
                        && answer.header("anvilpick-error").equals("overloaded")
                        && answer.header("anvilpick-outcome").equals("not_run");
            });
            for (Socket socket : slow) {
                socket.close();
            }
            system.await(
                    "the daemon to serve again",
                    () -> system.get(address, "/s/tillhand/tallies/1").status() == 200);
            assertTrue(system.daemons.get(0).isAlive());
        }
    }

    /** Sends a charge and never reads the answer. The small receive buffer leaves most of the answer in the daemon. */
    private static Socket callWithoutReadingTheAnswer(String address, int bytes) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(4_096);
        int colon = address.indexOf(':');
        socket.connect(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))));
        String head = "POST /s/tillhand/charges HTTP/1.1\r\nhost: anvilpick\r\nidempotency-key: " + UUID.randomUUID()
                + "\r\ncontent-length: " + bytes + "\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().write(new byte[bytes]);
        socket.getOutputStream().flush();
        return socket;
    }
}
