package io.anvilpick.daemon.target.connections;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.anvilpick.calls.CallRequest;
import io.anvilpick.calls.Exchange;
import io.anvilpick.calls.Header;
import io.anvilpick.calls.ProbeReply;
import io.anvilpick.calls.TargetReply;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.daemon.ScriptedServer;
import io.anvilpick.dispatch.LoadReport;
import io.anvilpick.dispatch.TargetNotice;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.ManualTimeSource;
import io.anvilpick.time.TimeSource;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

@Timeout(60)
class NettyTargetClientTest extends TargetClientFixture {

    /** Bytes that sockets may hold beyond what the client has read. */
    private static final long MAX_SOCKET_BYTES = 16L * 1024 * 1024;

    private static final int REPEATS = 60;

    private Exchange start(String id) {
        return start(client, TIME, id);
    }

    private Exchange start(NettyTargetClient from, TimeSource clock, String id) {
        return start(from, clock, config(), id);
    }

    private static Exchange start(NettyTargetClient from, TimeSource clock, TargetConfig to, String id) {
        return from.send(
                to,
                new CallRequest(
                        "s",
                        "",
                        "POST",
                        "/a/b?c=d%20e",
                        ImmutableList.of(new Header("host", "h.example"), new Header("x-id", id)),
                        "body".getBytes(StandardCharsets.UTF_8),
                        Optional.empty(),
                        Deadline.after(clock, Duration.ofSeconds(30)),
                        0));
    }

    private TargetReply send(String id) {
        return start(id).reply().join();
    }

    private static String answer(String id, String body) {
        return "HTTP/1.1 200 OK\r\nx-id: %s\r\nx-seal: s\r\nx-load: 3,1,8,250\r\ncontent-length: %d\r\n\r\n%s"
                .formatted(id, body.length(), body);
    }

    private static String bodyOf(TargetReply reply) {
        TargetReply.Answered answered = assertInstanceOf(TargetReply.Answered.class, reply);
        return new String(answered.answer().body(), StandardCharsets.UTF_8);
    }

    @Test
    void sendsTheRequestUnchangedWithItsTargetAndTheTimeLeft() {
        target.enqueue(answer("1", "whole"), ScriptedServer.Ending.KEEP);
        TargetReply.Answered reply = assertInstanceOf(TargetReply.Answered.class, send("1"));
        assertArrayEquals(
                "whole".getBytes(StandardCharsets.UTF_8), reply.answer().body());
        assertEquals(Optional.of(new LoadReport(3, 1, 2.5)), reply.load());
        String request = target.requests.getFirst().toLowerCase(Locale.ROOT);
        assertTrue(request.startsWith("post /a/b?c=d%20e http/1.1\n"), request);
        assertTrue(request.contains("x-target: i-1\n") && request.contains("x-left: ") && request.endsWith("body"));
        assertTrue(request.contains("host: h.example\n"));
    }

    @Test
    void reusesAConnection() {
        target.enqueue(answer("1", "a"), ScriptedServer.Ending.KEEP);
        target.enqueue(answer("2", "b"), ScriptedServer.Ending.KEEP);
        assertEquals("a", bodyOf(send("1")));
        assertEquals("b", bodyOf(send("2")));
        assertEquals(1, target.connections.size());
    }

    @Test
    void skipsAnAnswerToAnotherRequest() {
        target.enqueue(answer("other", "wrong") + answer("1", "right"), ScriptedServer.Ending.KEEP);
        assertEquals("right", bodyOf(send("1")));
    }

    @Test
    void doesNotReuseAConnectionWithBytesAfterTheAnswer() {
        target.enqueue(answer("1", "a") + answer("1", "again"), ScriptedServer.Ending.KEEP);
        target.enqueue(answer("2", "b"), ScriptedServer.Ending.KEEP);
        assertEquals("a", bodyOf(send("1")));
        assertEquals("b", bodyOf(send("2")));
        assertEquals(2, target.connections.size());
    }

    /** What follows an answer may be less than a head, and would precede the next answer on the connection. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200", "\r\n", "x"})
    void doesNotReuseAConnectionWithPartOfAnAnswerAfterTheAnswer(String extra) {
        target.enqueue(answer("1", "a") + extra, ScriptedServer.Ending.KEEP);
        target.enqueue(answer("2", "b"), ScriptedServer.Ending.KEEP);
        assertEquals("a", bodyOf(send("1")));
        assertEquals("b", bodyOf(send("2")));
        assertEquals(2, target.connections.size());
    }

    /** A target in trouble may send bytes that are no answer until its client closes. */
    @ParameterizedTest
    @CsvSource({
        "'aaaaaaaa', 'aaaaaaaa'",
        "'HTTP/1.1 200 OK@', 'x-a: b@'",
        "'HTTP/1.1 200 OK@x-a: ', 'bbbbbbbb'",
        "'', 'HTTP/1.1 100 Continue@@'",
        "'', 'HTTP/1.1 200 OK@x-id: other@content-length: 4@@body'",
        "'HTTP/1.1 200 OK@x-id: other@@', 'to the end'",
        "'HTTP/1.1 200 OK@x-id: 1@x-seal: s@@', 'to the end'",
        "'HTTP/1.1 200 OK@x-id: 1@x-seal: s@transfer-encoding: chunked@@', '4@body@'",
        "'HTTP/1.1 200 OK@x-id: 1@x-seal: s@transfer-encoding: chunked@@4', ';extension'",
        "'HTTP/1.1 200 OK@x-id: 1@x-seal: s@transfer-encoding: chunked@@7fffffff@', 'body'",
        "'HTTP/1.1 200 OK@x-id: 1@x-seal: s@transfer-encoding: chunked@@80000000@', 'body'",
        "'HTTP/1.1 200 OK@x-id: 1@x-seal: s@transfer-encoding: chunked@@7fffffffffffffff@', 'body'",
        "'HTTP/1.1 200 OK@x-id: 1@x-seal: s@transfer-encoding: chunked@@', '1@b@'",
        "'HTTP/1.1 200 OK@x-id: 1@x-seal: s@content-length: 4611686018427387904@@', 'body'",
        "'HTTP/1.1 200 OK@x-id: 1@x-seal: s@content-length: 9223372036854775808@@', 'body'",
        "'HTTP/1.1 200 ', 'aaaaaaaa'",
        "'HTTP/1.1 103 Early@', 'x-a: b@'",
        "'', 'HTTP/1.1 103 Early@x-a: bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb@x-b: bbbbbbbbbbbbbbbb@@'",
        "'HTTP/1.1 200 OK@x-id: 1@x-seal: s@content-length: 1@@1', 'HTTP/1.1 200 OK@x-id: 1@content-length: 4@@body'",
        "'HTTP/1.1 200 OK@x-id: 1@x-seal: s@transfer-encoding: chunked@@0@', 'x-a: b@'",
        "'HTTP/1.1 200 OK@x-id: 1@x-seal: s@content-length: 1@@1', 'more'",
    })
    void anAnswerWithoutEndEndsItsExchangeAndItsConnection(String beginning, String rest) throws Exception {
        target.enqueueWithoutEnd(
                beginning.replace("@", "\r\n"), rest.replace("@", "\r\n").repeat(1_000));
        boolean complete = beginning.endsWith("content-length: 1@@1");
        assertEquals(complete, send("1") instanceof TargetReply.Answered);
        long written = target.awaitEndlessAnswerClosed();
        assertTrue(written < 3 * MAX_HELD_BYTES + MAX_SOCKET_BYTES, () -> written + " bytes written");
        assertEquals(0, heldBodies.held());
        target.enqueue(answer("2", "next"), ScriptedServer.Ending.KEEP);
        assertEquals("next", bodyOf(send("2")));
        assertEquals(2, target.connections.size());
    }

    /** Guards against an answer without end that stalls while it leaves no room for the answers of others. */
    @Test
    void anAnswerBesideOthersIsCutWhenItHoldsMoreThanItLeavesFree() {
        heldBodies.hold(MAX_HELD_BYTES / 4);
        target.enqueue(
                "HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: s\r\n\r\n" + "x".repeat((int) MAX_HELD_BYTES / 2),
                ScriptedServer.Ending.KEEP);
        assertInstanceOf(TargetReply.Cut.class, send("1"));
        String body = "b".repeat((int) MAX_HELD_BYTES / 3);
        target.enqueue(answer("2", body), ScriptedServer.Ending.KEEP);
        assertEquals(body, bodyOf(send("2")));
    }

    @Test
    void aLargeAnswerArrivesWholeIfNoOtherExchangeHoldsABody() {
        heldBodies.hold("body".length());
        String body = "b".repeat((int) MAX_HELD_BYTES * 31 / 32 - "body".length());
        target.enqueue(answer("1", body), ScriptedServer.Ending.KEEP);
        assertEquals(body, bodyOf(send("1")));
    }

    /** Guards against an exchange without outcome after an error while its answer is completed, as when memory runs out. */
    @Test
    void anErrorWhileAnAnswerIsCompletedCutsIt() throws Exception {
        AtomicBoolean broken = new AtomicBoolean();
        TimeSource clock = new BreakableTimeSource(broken);
        Exchange exchange = start(clientOn(clock), clock, "1");
        target.firstRequest.await();
        broken.set(true);
        target.enqueue(
                "HTTP/1.1 503 No\r\nx-id: 1\r\nretry-after: 1\r\ncontent-length: 4\r\n\r\nbody",
                ScriptedServer.Ending.KEEP);
        assertInstanceOf(TargetReply.Cut.class, exchange.reply().get(5, TimeUnit.SECONDS));
        assertEquals(0, heldBodies.held());
    }

    /** Guards against sound answers that are cut because answers without end hold all bytes that the daemon may hold. */
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 5})
    void soundAnswersArriveWholeBesideAnswersWithoutEnd(int faulty) throws Exception {
        List<ScriptedServer> servers = new ArrayList<>();
        try {
            for (int i = 0; i < faulty; i++) {
                ScriptedServer server = new ScriptedServer();
                servers.add(server);
                for (int j = 0; j < REPEATS; j++) {
                    server.enqueueWithoutEnd("HTTP/1.1 200 OK\r\nx-id: e\r\nx-seal: s\r\n\r\n", "x".repeat(10_000));
                }
                repeat(server, REPEATS);
            }
            String body = "b".repeat(4_000);
            for (int i = 0; i < REPEATS; i++) {
                target.enqueue(answer("sound-" + i, body), ScriptedServer.Ending.KEEP);
                assertEquals(body, bodyOf(send("sound-" + i)));
            }
        } finally {
            servers.forEach(ScriptedServer::close);
        }
    }

    /** Sends requests to {@code server}, one after the other. */
    private void repeat(ScriptedServer server, int times) {
        if (times > 0) {
            TargetConfig config = new TargetConfig("i-2", "127.0.0.1", server.port(), "z", false);
            start(client, TIME, config, "e").reply().thenRun(() -> repeat(server, times - 1));
        }
    }

    /** Guards against an exchange without outcome after an answer that cannot be built. */
    @ParameterizedTest
    @ValueSource(strings = {"x-load: 3,1,8,0", "x-load: 2147483648,0,0,0", "x-load: -1,-1,-1,-1", "retry-after: NaN"})
    void anAnswerWithOddHeadersEndsItsExchange(String header) {
        target.enqueue(
                "HTTP/1.1 503 No\r\nx-id: 1\r\n" + header + "\r\ncontent-length: 0\r\n\r\n",
                ScriptedServer.Ending.KEEP);
        assertInstanceOf(TargetReply.Answered.class, send("1"));
    }

    @Test
    void anAnswerThatStallsIsReleasedAtItsDeadlineAndItsConnectionClosed() {
        target.enqueue("HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: s\r\n\r\npart", ScriptedServer.Ending.KEEP);
        CallRequest request = new CallRequest(
                "s",
                "",
                "GET",
                "/a",
                ImmutableList.of(new Header("x-id", "1")),
                new byte[0],
                Optional.empty(),
                Deadline.after(TIME, Duration.ofMillis(100)),
                0);
        assertInstanceOf(
                TargetReply.TimedOut.class,
                client.send(config(), request).reply().join());
        target.enqueue(answer("2", "next"), ScriptedServer.Ending.KEEP);
        assertEquals("next", bodyOf(send("2")));
        assertEquals(0, heldBodies.held());
        assertEquals(2, target.connections.size());
    }

    @Test
    void aProbeAnswerThatStallsIsNoAnswerAndItsConnectionClosed() {
        target.enqueue("HTTP/1.1 200 OK\r\nx-load: 2,0,4,100\r\n\r\npart", ScriptedServer.Ending.KEEP);
        assertEquals(
                new ProbeReply.NoAnswer(), client.probe(config(), "/healthz").join());
        target.enqueue(answer("2", "next"), ScriptedServer.Ending.KEEP);
        assertEquals("next", bodyOf(send("2")));
        assertEquals(0, heldBodies.held());
        assertEquals(2, target.connections.size());
    }

    @Test
    void bytesWithoutEndOnAnIdleConnectionCloseIt() throws Exception {
        target.enqueueWithoutEnd(answer("1", "a"), "HTTP/1.1 200 OK\r\nx-a: b\r\n\r\n");
        assertEquals("a", bodyOf(send("1")));
        long written = target.awaitEndlessAnswerClosed();
        assertTrue(written < MAX_SOCKET_BYTES, () -> written + " bytes written");
        assertEquals(0, heldBodies.held());
    }

    @Test
    void aProbeAnswerWithoutEndIsNoAnswer() throws Exception {
        target.enqueueWithoutEnd("HTTP/1.1 200 OK\r\nx-load: 2,0,4,100\r\n\r\n", "x".repeat(1_000));
        assertEquals(
                new ProbeReply.NoAnswer(), client.probe(config(), "/healthz").join());
        target.awaitEndlessAnswerClosed();
    }

    /** Guards against a success with an empty or short body, framed as whole, after a target that closed within the head. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: s\r\ncontent-length: 10\r\n\r\n",
                "HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: s\r\nconnection: close\r\nx-a: b\r\n\r\n",
                "HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: s\r\ntransfer-encoding: chunked\r\n\r\n",
                "HTTP/1.1 503 No\r\nx-id: 1\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n",
            })
    void anAnswerThatEndsWithinItsHeadIsNoAnswer(String head) {
        for (int length = 1; length < head.length(); length++) {
            target.enqueue(head.substring(0, length), ScriptedServer.Ending.CLOSE);
            TargetReply reply = send("1");
            assertFalse(reply instanceof TargetReply.Answered, head.substring(0, length) + " -> " + reply);
        }
    }

    @Test
    void aTruncatedAnswerIsCut() {
        String whole = answer("1", "0123456789");
        target.enqueue(whole.substring(0, whole.length() - 3), ScriptedServer.Ending.CLOSE);
        assertInstanceOf(TargetReply.Cut.class, send("1"));
    }

    @Test
    void anAnswerWithoutLengthIsCompleteWhenItsConnectionCloses() {
        target.enqueue("HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: s\r\n\r\nto the end", ScriptedServer.Ending.CLOSE);
        assertEquals("to the end", bodyOf(send("1")));
    }

    @Test
    void anAnswerWithoutLengthIsCutWhenItsConnectionIsReset() {
        target.enqueue("HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: s\r\n\r\nto the", ScriptedServer.Ending.RESET);
        TargetReply reply = send("1");
        assertFalse(reply instanceof TargetReply.Answered, reply.toString());
    }

    @Test
    void aSuccessWithoutSealOrWithAContentEncodingIsCut() {
        target.enqueue("HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 0\r\n\r\n", ScriptedServer.Ending.KEEP);
        assertInstanceOf(TargetReply.Cut.class, send("1"));
        target.enqueue(
                "HTTP/1.1 200 OK\r\nx-id: 2\r\nx-seal: s\r\ncontent-encoding: gzip\r\ncontent-length: 0\r\n\r\n",
                ScriptedServer.Ending.KEEP);
        assertInstanceOf(TargetReply.Cut.class, send("2"));
    }

    @Test
    void malformedBytesLoseTheRequest() {
        target.enqueue("nonsense\r\n\r\n", ScriptedServer.Ending.KEEP);
        assertInstanceOf(TargetReply.Lost.class, send("1"));
    }

    @Test
    void aConnectionClosedWithoutAnswerLosesTheRequest() {
        target.enqueue("", ScriptedServer.Ending.CLOSE);
        assertInstanceOf(TargetReply.Lost.class, send("1"));
    }

    @Test
    void aRejectionReportsThatTheRequestDidNotRun() {
        target.enqueue("HTTP/1.1 503 No\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n", ScriptedServer.Ending.KEEP);
        assertTrue(assertInstanceOf(TargetReply.Answered.class, send("1")).notRun());
        target.enqueue("HTTP/1.1 421 No\r\ncontent-length: 0\r\n\r\n", ScriptedServer.Ending.KEEP);
        assertTrue(assertInstanceOf(TargetReply.Answered.class, send("2")).notRun());
    }

    @Test
    void anAnswerOfALeavingTargetSaysSoAndClosesTheConnectionsToIt() {
        target.enqueue(answer("1", "a"), ScriptedServer.Ending.KEEP);
        target.enqueue(
                "HTTP/1.1 200 OK\r\nx-id: 2\r\nx-seal: s\r\nx-leaving: 1\r\ncontent-length: 1\r\n\r\nb",
                ScriptedServer.Ending.KEEP);
        target.enqueue(answer("3", "c"), ScriptedServer.Ending.KEEP);
        assertEquals("a", bodyOf(send("1")));
        TargetReply.Answered leaving = assertInstanceOf(TargetReply.Answered.class, send("2"));
        assertEquals(new TargetNotice.Leaving(), leaving.notice());
        assertEquals("b", bodyOf(leaving));
        assertEquals("c", bodyOf(send("3")));
        assertEquals(2, target.connections.size());
    }

    @Test
    void aRejectionMayAskForRest() {
        ManualTimeSource clock = ManualTimeSource.startingAt(0);
        NettyTargetClient manualClient = clientOn(clock);
        String rest = "HTTP/1.1 %d No\r\nx-id: 1\r\nx-not-run: 1\r\nretry-after: 1.5\r\ncontent-length: 0\r\n\r\n";
        target.enqueue(rest.formatted(503), ScriptedServer.Ending.KEEP);
        target.enqueue(rest.formatted(429), ScriptedServer.Ending.CLOSE);
        TargetReply.Answered rejected = assertInstanceOf(
                TargetReply.Answered.class,
                start(manualClient, clock, "1").reply().join());
        assertEquals(new TargetNotice.Rest(Deadline.after(clock, Duration.ofMillis(1_500))), rejected.notice());
        TargetReply.Answered other = assertInstanceOf(
                TargetReply.Answered.class,
                start(manualClient, clock, "1").reply().join());
        assertEquals(new TargetNotice.None(), other.notice());
    }

    @Test
    void aProbeReplyMayAskForRestOrSayThatTheTargetLeaves() {
        target.enqueue(
                "HTTP/1.1 200 OK\r\nx-load: 2,0,4,100\r\nx-leaving: 1\r\ncontent-length: 0\r\n\r\n",
                ScriptedServer.Ending.KEEP);
        assertEquals(
                new ProbeReply.Noticed(new TargetNotice.Leaving()),
                client.probe(config(), "/healthz").join());
        target.enqueue("HTTP/1.1 503 No\r\nretry-after: 2\r\ncontent-length: 0\r\n\r\n", ScriptedServer.Ending.KEEP);
        ProbeReply.Noticed noticed = assertInstanceOf(
                ProbeReply.Noticed.class, client.probe(config(), "/healthz").join());
        assertInstanceOf(TargetNotice.Rest.class, noticed.notice());
    }

    @Test
    void skipsAnInterimAnswer() {
        target.enqueue("HTTP/1.1 100 Continue\r\n\r\n" + answer("1", "final"), ScriptedServer.Ending.KEEP);
        assertEquals("final", bodyOf(send("1")));
    }

    @Test
    void sendsNothingIfNoSocketListens() throws Exception {
        try (Socket bound = new Socket()) {
            TargetConfig unreachable = withoutListener(bound);
            assertInstanceOf(
                    TargetReply.NotSent.class,
                    start(client, TIME, unreachable, "1").reply().join());
        }
    }

    /** Returns the address of {@code bound}, which does not listen and keeps other sockets off its port. */
    private static TargetConfig withoutListener(Socket bound) throws Exception {
        bound.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        return new TargetConfig("i-1", "127.0.0.1", bound.getLocalPort(), "z", false);
    }

    @Test
    void cancellingClosesTheConnection() throws Exception {
        Exchange exchange = start("1");
        target.firstRequest.await();
        exchange.cancel();
        assertInstanceOf(TargetReply.Cancelled.class, exchange.reply().join());
        target.enqueue("", ScriptedServer.Ending.KEEP);
        target.enqueue(answer("2", "b"), ScriptedServer.Ending.KEEP);
        assertEquals("b", bodyOf(send("2")));
        assertEquals(2, target.connections.size());
    }

    @Test
    void aProbeReportsTheLoadAndHasNoRequestId() {
        target.enqueue("HTTP/1.1 200 OK\r\nx-load: 2,0,4,100\r\ncontent-length: 0\r\n\r\n", ScriptedServer.Ending.KEEP);
        assertEquals(
                new ProbeReply.Reported(new LoadReport(2, 0, 1)),
                client.probe(config(), "/healthz").join());
        String request = target.requests.getFirst().toLowerCase(Locale.ROOT);
        assertTrue(request.startsWith("get /healthz http/1.1\n") && !request.contains("x-id"), request);
    }

    @Test
    void aProbeReportsThatAnotherTargetHasTheAddress() {
        target.enqueue("HTTP/1.1 421 No\r\ncontent-length: 0\r\n\r\n", ScriptedServer.Ending.KEEP);
        assertEquals(
                new ProbeReply.Noticed(new TargetNotice.Replaced()),
                client.probe(config(), "/healthz").join());
    }

    @Test
    void aProbeHasNoAnswerIfNoSocketListens() throws Exception {
        try (Socket bound = new Socket()) {
            assertEquals(
                    new ProbeReply.NoAnswer(),
                    client.probe(withoutListener(bound), "/healthz").join());
        }
    }

    @Test
    void aProbeAnswerWithoutLoadIsNoFailure() {
        target.enqueue("HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n", ScriptedServer.Ending.KEEP);
        assertEquals(
                new ProbeReply.NotReported(), client.probe(config(), "/healthz").join());
    }

    @Test
    void repeatsAProbeOnANewConnectionIfTheTargetResetThePooledOne() {
        target.enqueue(answer("1", "a"), ScriptedServer.Ending.KEEP);
        target.enqueue("", ScriptedServer.Ending.RESET);
        target.enqueue("HTTP/1.1 200 OK\r\nx-load: 2,0,4,100\r\ncontent-length: 0\r\n\r\n", ScriptedServer.Ending.KEEP);
        assertEquals("a", bodyOf(send("1")));
        assertEquals(
                new ProbeReply.Reported(new LoadReport(2, 0, 1)),
                client.probe(config(), "/healthz").join());
        assertEquals(2, target.connections.size());
    }

    @Test
    void doesNotReuseAConnectionThatWasIdleAsLongAsOneThatWasReset() {
        ManualTimeSource clock = ManualTimeSource.startingAt(0);
        NettyTargetClient manualClient = clientOn(clock);
        target.enqueue(answer("1", "a"), ScriptedServer.Ending.KEEP);
        target.enqueue("", ScriptedServer.Ending.RESET);
        target.enqueue(answer("3", "c"), ScriptedServer.Ending.KEEP);
        target.enqueue(answer("4", "d"), ScriptedServer.Ending.KEEP);
        target.enqueue(answer("5", "e"), ScriptedServer.Ending.KEEP);
        assertEquals("a", bodyOf(start(manualClient, clock, "1").reply().join()));
        clock.advance(Duration.ofMillis(500));
        TargetReply.Lost lost = assertInstanceOf(
                TargetReply.Lost.class, start(manualClient, clock, "2").reply().join());
        assertTrue(lost.reason().endsWith("rested_ms=500"), lost.reason());
        assertEquals("c", bodyOf(start(manualClient, clock, "3").reply().join()));
        clock.advance(Duration.ofMillis(500));
        assertEquals("d", bodyOf(start(manualClient, clock, "4").reply().join()));
        clock.advance(Duration.ofMillis(300));
        assertEquals("e", bodyOf(start(manualClient, clock, "5").reply().join()));
        assertEquals(3, target.connections.size());
    }

    @Test
    void aRequestTimesOutAfterItsDeadline() {
        target.enqueue("", ScriptedServer.Ending.KEEP);
        ManualTimeSource clock = ManualTimeSource.startingAt(0);
        Exchange exchange = clientOn(clock)
                .send(
                        config(),
                        new CallRequest(
                                "s",
                                "",
                                "GET",
                                "/a",
                                ImmutableList.of(),
                                new byte[0],
                                Optional.empty(),
                                Deadline.after(clock, Duration.ofMillis(1)),
                                0));
        assertInstanceOf(TargetReply.TimedOut.class, exchange.reply().join());
    }

    /** A time source that throws while {@code broken} is set. */
    private record BreakableTimeSource(AtomicBoolean broken) implements TimeSource {
        @Override
        public long nanos() {
            if (broken.get()) {
                throw new IllegalStateException("broken clock");
            }
            return TIME.nanos();
        }

        @Override
        public long epochMillis() {
            return TIME.epochMillis();
        }
    }
}
