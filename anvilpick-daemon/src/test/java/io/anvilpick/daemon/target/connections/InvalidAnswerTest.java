package io.anvilpick.daemon.target.connections;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import com.google.common.collect.ImmutableList;
import io.anvilpick.calls.CallRequest;
import io.anvilpick.calls.Header;
import io.anvilpick.calls.ProbeReply;
import io.anvilpick.calls.TargetReply;
import io.anvilpick.daemon.InvalidHead;
import io.anvilpick.daemon.ScriptedServer.Ending;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.ManualTimeSource;
import io.anvilpick.time.TimeSource;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against answers of a faulty target that reach a caller, or count as a reply to a probe, although their head is invalid. */
@Timeout(60)
class InvalidAnswerTest extends TargetClientFixture {
    private static final String LOAD = "x-load: 2,0,4,100\r\n";

    private TargetReply send(NettyTargetClient from, TimeSource clock, String id) {
        return send(from, clock, "GET", id);
    }

    private TargetReply send(NettyTargetClient from, TimeSource clock, String method, String id) {
        CallRequest request = new CallRequest(
                "s",
                "",
                method,
                "/a",
                ImmutableList.of(new Header("x-id", id)),
                new byte[0],
                Optional.empty(),
                Deadline.after(clock, Duration.ofSeconds(5)),
                0);
        return from.send(config(), request).reply().join();
    }

    private TargetReply send(String id) {
        return send(client, TIME, id);
    }

    private ProbeReply probe() {
        return client.probe(config(), "/healthz").join();
    }

    private static String headersOf(String id) {
        return "x-id: " + id + "\r\nx-seal: s\r\n" + LOAD;
    }

    private static String answer(String id) {
        return "HTTP/1.1 200 OK\r\n" + headersOf(id) + "content-length: 4\r\n\r\nnext";
    }

    private static void assertIsAnswered(TargetReply reply, int status, String body) {
        TargetReply.Answered answered = assertInstanceOf(TargetReply.Answered.class, reply);
        assertEquals(status, answered.answer().status());
        assertArrayEquals(
                body.getBytes(StandardCharsets.US_ASCII), answered.answer().body());
    }

    @ParameterizedTest
    @MethodSource("io.anvilpick.daemon.InvalidHead#all")
    void anInvalidAnswerLosesItsRequestAndItsConnection(InvalidHead head) {
        target.enqueue(head.with(headersOf("1")), Ending.KEEP);
        target.enqueue(answer("2"), Ending.KEEP);
        assertInstanceOf(TargetReply.Lost.class, send("1"));
        assertIsAnswered(send("2"), 200, "next");
        assertEquals(2, target.connections.size());
        assertEquals(0, heldBodies.held());
    }

    @ParameterizedTest
    @MethodSource("io.anvilpick.daemon.InvalidHead#all")
    void anInvalidProbeReplyIsNoAnswer(InvalidHead head) {
        target.enqueue(head.with(LOAD), Ending.KEEP);
        target.enqueue(answer("2"), Ending.KEEP);
        assertEquals(new ProbeReply.NoAnswer(), probe());
        assertIsAnswered(send("2"), 200, "next");
        assertEquals(2, target.connections.size());
    }

    /** Guards against a rejection with an invalid head that is taken for the guarantee that the request did not run. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 000 No", "HTTP/1.1 0503 No", "HTTP/2.0 503 No", "HTTP/1.1 999 No"})
    void anInvalidRejectionIsNoRejection(String statusLine) {
        target.enqueue(statusLine + "\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n", Ending.KEEP);
        assertInstanceOf(TargetReply.Lost.class, send("1"));
    }

    /** What follows an invalid head of an answer to another request cannot be told apart from its body. */
    @Test
    void aValidAnswerBehindAnInvalidHeadIsNotRead() {
        target.enqueue("HTTP/1.1 000 No\r\nx-id: other\r\ncontent-length: 0\r\n\r\n" + answer("1"), Ending.KEEP);
        assertInstanceOf(TargetReply.Lost.class, send("1"));
    }

    /** Guards against a faulty target whose probes look healthy because only every second reply is invalid. */
    @Test
    void aProbeWithAnInvalidReplyOnAReusedConnectionIsNotRepeated() {
        target.enqueue(answer("1"), Ending.KEEP);
        target.enqueue("HTTP/1.1 000 No\r\n" + LOAD + "content-length: 0\r\n\r\n", Ending.KEEP);
        target.enqueue(answer("2"), Ending.KEEP);
        assertIsAnswered(send("1"), 200, "next");
        assertEquals(new ProbeReply.NoAnswer(), probe());
        assertIsAnswered(send("2"), 200, "next");
        assertEquals(3, target.requests.size());
    }

    /** Guards against idle connections to other targets that are not reused because one target answers with invalid heads. */
    @Test
    void anInvalidAnswerDoesNotLowerTheIdleTimeOfConnections() {
        ManualTimeSource clock = ManualTimeSource.startingAt(0);
        NettyTargetClient manualClient = clientOn(clock);
        target.enqueue(answer("1"), Ending.KEEP);
        target.enqueue("HTTP/1.1 000 No\r\ncontent-length: 0\r\n\r\n", Ending.KEEP);
        target.enqueue(answer("3"), Ending.KEEP);
        target.enqueue(answer("4"), Ending.KEEP);
        assertIsAnswered(send(manualClient, clock, "1"), 200, "next");
        clock.advance(Duration.ofMillis(500));
        assertInstanceOf(TargetReply.Lost.class, send(manualClient, clock, "2"));
        assertIsAnswered(send(manualClient, clock, "3"), 200, "next");
        clock.advance(Duration.ofMillis(500));
        assertIsAnswered(send(manualClient, clock, "4"), 200, "next");
        assertEquals(2, target.connections.size());
    }

    /** Guards against a check that turns away answers that are valid, if unusual. */
    @ParameterizedTest
    @ValueSource(ints = {200, 201, 226, 299, 300, 399, 400, 418, 451, 499, 500, 530, 599})
    void anAnswerWithAnyFinalStatusPassesUnchanged(int status) {
        target.enqueue("HTTP/1.1 " + status + "\r\n" + headersOf("1") + "content-length: 4\r\n\r\nbody", Ending.KEEP);
        target.enqueue("HTTP/1.0 " + status + " A b\r\n" + headersOf("2") + "\r\nto the end", Ending.CLOSE);
        target.enqueue(
                "HTTP/1.1 " + status + " A\r\n" + headersOf("3")
                        + "transfer-encoding: Chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                Ending.KEEP);
        assertIsAnswered(send("1"), status, "body");
        assertIsAnswered(send("2"), status, "to the end");
        assertIsAnswered(send("3"), status, "body");
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 102, 103, 110, 199})
    void anInterimAnswerIsNeverFinal(int status) {
        String interim = "HTTP/1.1 " + status + " Wait\r\n" + headersOf("1") + "\r\n";
        target.enqueue(interim + answer("1"), Ending.KEEP);
        assertIsAnswered(send("1"), 200, "next");
        target.enqueue(interim, Ending.CLOSE);
        assertInstanceOf(TargetReply.Lost.class, send("1"));
    }

    /** Guards against a check of the framing that is left out where the body is. */
    @Test
    void anAnswerToAHeadRequestMayNotHaveAnInvalidFramingEither() {
        target.enqueue(
                "HTTP/1.1 200 OK\r\n" + headersOf("1") + "content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n",
                Ending.KEEP);
        target.enqueue("HTTP/1.1 200 OK\r\n" + headersOf("2") + "content-length: 4\r\n\r\n", Ending.KEEP);
        assertInstanceOf(TargetReply.Lost.class, send(client, TIME, "HEAD", "1"));
        assertIsAnswered(send(client, TIME, "HEAD", "2"), 200, "");
    }
}
