package io.anvilpick.daemon.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.net.HostAndPort;
import io.anvilpick.daemon.ScriptedServer;
import io.anvilpick.daemon.ScriptedServer.Ending;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.ManualTimeSource;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

@Timeout(60)
class HttpServerClientTest {
    private static final EventLoopGroup LOOPS = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private static final String EMPTY_ANSWER = "HTTP/1.1 204 No Content\r\n\r\n";

    /** Bytes that the sockets may hold beyond what the client has read. */
    private static final long MAX_SOCKET_BYTES = 16L * 1024 * 1024;

    /** Bytes on the wire of the largest body that is read, in the smallest chunks used here. */
    private static final long MAX_CHUNKED_BODY_BYTES = 4L * 1024 * 1024 * 9 / 4;

    private final ManualTimeSource time = ManualTimeSource.startingAt(0);
    private ScriptedServer server;
    private HttpServerClient client;

    @BeforeEach
    void start() throws Exception {
        server = new ScriptedServer();
        client = new HttpServerClient(LOOPS, HostAndPort.fromParts("127.0.0.1", server.port()), time);
    }

    @AfterEach
    void close() {
        server.close();
    }

    @AfterAll
    static void closeLoops() {
        LOOPS.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private PendingCall call(String method, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return client.send(new ServerCall(method, "/a?b=c", bytes, Deadline.after(time, Duration.ofSeconds(30))));
    }

    private ServerReply get() {
        return call("GET", "").reply().join();
    }

    private static ServerReply.Answered answered(ServerReply reply) {
        return assertInstanceOf(ServerReply.Answered.class, reply);
    }

    @Test
    void returnsStatusAndBodyAndReusesItsConnection() {
        server.enqueue("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole", Ending.KEEP);
        server.enqueue("HTTP/1.1 404 No\r\ntransfer-encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n", Ending.KEEP);
        ServerReply.Answered first = answered(call("POST", "{}").reply().join());
        assertEquals(200, first.status());
        assertArrayEquals("whole".getBytes(StandardCharsets.UTF_8), first.body());
        ServerReply.Answered second = answered(get());
        assertEquals(404, second.status());
        assertArrayEquals("no".getBytes(StandardCharsets.UTF_8), second.body());
        assertEquals(1, server.connections.size());
        String request = server.requests.getFirst().toLowerCase(Locale.ROOT);
        assertTrue(request.startsWith("post /a?b=c http/1.1\n") && request.endsWith("{}"), request);
        assertTrue(request.contains("content-type: application/json\n"), request);
    }

    /** Guards against a header that is not found because the server spells its name otherwise. */
    @Test
    void returnsTheHeadersOfTheFinalResponseByNameInLowerCase() {
        server.enqueue(
                "HTTP/1.1 102 Wait\r\nAny-Name: 1\r\n\r\n"
                        + "HTTP/1.1 200 OK\r\nAny-Name: 2\r\nANY-NAME: 3\r\ncontent-length: 0\r\n\r\n",
                Ending.KEEP);
        assertEquals(List.of("2", "3"), answered(get()).headers().get("any-name"));
    }

    @Test
    void skipsInterimResponses() {
        server.enqueue("HTTP/1.1 102 Wait\r\n\r\n" + EMPTY_ANSWER, Ending.KEEP);
        assertEquals(204, answered(get()).status());
    }

    @Test
    void aTruncatedOrMissingResponseIsLost() {
        server.enqueue("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwho", Ending.CLOSE);
        assertInstanceOf(ServerReply.Lost.class, get());
        server.enqueue("", Ending.CLOSE);
        assertInstanceOf(ServerReply.Lost.class, get());
    }

    @Test
    void nothingIsSentIfNoSocketListens() throws Exception {
        try (Socket bound = new Socket()) {
            bound.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            client = new HttpServerClient(LOOPS, HostAndPort.fromParts("127.0.0.1", bound.getLocalPort()), time);
            assertInstanceOf(ServerReply.NotSent.class, get());
        }
    }

    @Test
    void aCallWithoutResponseIsLostAtItsDeadline() {
        server.enqueue("", Ending.KEEP);
        Deadline deadline = Deadline.after(time, Duration.ofMillis(1));
        PendingCall pending = client.send(new ServerCall("GET", "/", new byte[0], deadline));
        assertInstanceOf(ServerReply.Lost.class, pending.reply().join());
    }

    @Test
    void anAbortedCallIsLostAndItsConnectionClosed() throws Exception {
        PendingCall pending = call("GET", "");
        server.firstRequest.await();
        pending.abort();
        assertInstanceOf(ServerReply.Lost.class, pending.reply().join());
        server.enqueue("", Ending.KEEP);
        server.enqueue(EMPTY_ANSWER, Ending.KEEP);
        assertEquals(204, answered(get()).status());
        assertEquals(2, server.connections.size());
    }

    private ServerReply getHedged(Duration overdueAfter) {
        Deadline deadline = Deadline.after(time, Duration.ofSeconds(30));
        ServerCall call = new ServerCall("GET", "/watch", new byte[0], deadline);
        return client.sendHedged(call, call, Deadline.after(time, overdueAfter))
                .reply()
                .join();
    }

    /** Guards against a call that waits on a connection that has lost its packets without being closed (issue 36). */
    @Test
    void anOverdueCallIsSentAgainOnANewConnection() {
        openIdleConnections();
        server.enqueue("", Ending.KEEP);
        server.enqueue(EMPTY_ANSWER, Ending.KEEP);
        assertEquals(204, answered(getHedged(Duration.ofMillis(1))).status());
        assertEquals(3, server.connections.size());
        assertEquals(server.requests.get(2), server.requests.get(3));
    }

    /** Guards against a second attempt that the server turns away and that ends the first one, which is only slow (issue 36). */
    @ParameterizedTest
    @ValueSource(strings = {"429 Too Many Requests", "503 Service Unavailable"})
    void refusalOfTheSecondAttemptDoesNotEndTheFirst(String refusal) throws Exception {
        server.enqueue("", Ending.KEEP);
        server.enqueue("HTTP/1.1 " + refusal + "\r\nContent-Length: 0\r\n\r\n", Ending.KEEP);
        Deadline deadline = Deadline.after(time, Duration.ofSeconds(30));
        ServerCall call = new ServerCall("GET", "/watch", new byte[0], deadline);
        PendingCall pending = client.sendHedged(call, call, Deadline.after(time, Duration.ofMillis(1)));
        server.awaitRequests(2);
        server.enqueue(EMPTY_ANSWER, Ending.KEEP);
        answered(get());
        // Either attempt may have got the refusal. Bytes on a connection without a call close it.
        for (Socket connection : server.connections) {
            connection.getOutputStream().write(EMPTY_ANSWER.getBytes(StandardCharsets.ISO_8859_1));
        }
        assertEquals(204, answered(pending.reply().join()).status());
    }

    /** Event loops on which no connection is ever made and no attempt to make one fails. */
    private static final class UnconnectedLoops extends MultiThreadIoEventLoopGroup {
        private UnconnectedLoops() {
            super(1, NioIoHandler.newFactory());
        }

        @Override
        public ChannelFuture register(Channel channel) {
            return channel.newPromise();
        }
    }

    /** Guards against a thread that waits for ever for a call whose connection has been lost track of (issue 36). */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aCallEndsByItsDeadlineWhateverBecomesOfItsConnection(boolean hedged) throws Exception {
        EventLoopGroup loops = new UnconnectedLoops();
        HttpServerClient unconnected =
                new HttpServerClient(loops, HostAndPort.fromParts("127.0.0.1", server.port()), time);
        ServerCall call = new ServerCall("GET", "/", new byte[0], Deadline.after(time, Duration.ofMillis(2)));
        PendingCall pending = hedged
                ? unconnected.sendHedged(call, call, Deadline.after(time, Duration.ofMillis(1)))
                : unconnected.send(call);
        assertInstanceOf(ServerReply.Lost.class, pending.reply().get(20, TimeUnit.SECONDS));
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void aCallThatIsAnsweredInTimeIsSentOnce() {
        server.enqueue(EMPTY_ANSWER, Ending.KEEP);
        assertEquals(204, answered(getHedged(Duration.ofSeconds(20))).status());
        assertEquals(1, server.requests.size());
    }

    @Test
    void anOverdueCallIsLostOnceBothAttemptsAre() {
        server.enqueue("", Ending.KEEP);
        server.enqueue("", Ending.CLOSE);
        Deadline deadline = Deadline.after(time, Duration.ofMillis(300));
        ServerCall call = new ServerCall("GET", "/watch", new byte[0], deadline);
        PendingCall pending = client.sendHedged(call, call, Deadline.after(time, Duration.ofMillis(1)));
        assertEquals(
                new ServerReply.Lost("no response in time"), pending.reply().join());
    }

    /** Guards against one call after another that is lost on pooled connections that are all dead (issue 36). */
    @Test
    void idleConnectionsAreNotUsedAfterACallWithoutResponse() {
        openIdleConnections();
        server.enqueue("", Ending.KEEP);
        Deadline deadline = Deadline.after(time, Duration.ofMillis(1));
        PendingCall lost = client.send(new ServerCall("GET", "/", new byte[0], deadline));
        assertInstanceOf(ServerReply.Lost.class, lost.reply().join());
        server.enqueue(EMPTY_ANSWER, Ending.KEEP);
        assertEquals(204, answered(get()).status());
        assertEquals(3, server.connections.size());
    }

    /** Opens two connections, which are idle when it returns. */
    private void openIdleConnections() {
        PendingCall one = call("GET", "");
        PendingCall other = call("GET", "");
        server.enqueue(EMPTY_ANSWER, Ending.KEEP);
        server.enqueue(EMPTY_ANSWER, Ending.KEEP);
        answered(one.reply().join());
        answered(other.reply().join());
        assertEquals(2, server.connections.size());
    }

    /** A server in trouble may send bytes that are no answer until its client closes. */
    @ParameterizedTest
    @CsvSource({
        "'aaaaaaaa', 'aaaaaaaa', Lost",
        "'HTTP/1.1 200 OK\r\n', 'x-a: b\r\n', Lost",
        "'HTTP/1.1 200 OK\r\nx-a: ', 'bbbbbbbb', Lost",
        "'', 'HTTP/1.1 100 Continue\r\n\r\n', Lost",
        "'', 'HTTP/1.1 103 Early\r\nx-a: bbbbbbbbbbbbbbbbbbbbbbbbbbbb\r\n\r\n', Lost",
        "'HTTP/1.1 103 Early\r\n', 'x-a: b\r\n', Lost",
        "'HTTP/1.1 200 ', 'aaaaaaaa', Lost",
        "'HTTP/1.1 200 OK\r\ncontent-length: 4611686018427387904\r\n\r\n', 'body', TooLarge",
        "'HTTP/1.1 200 OK\r\ncontent-length: 9223372036854775808\r\n\r\n', 'body', Lost",
        "'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n80000000\r\n', 'body', Lost",
        "'HTTP/1.1 200 OK\r\n\r\n', 'to the end', TooLarge",
        "'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n', '4\r\nbody\r\n', TooLarge",
        "'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4', ';extension', Lost",
        "'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n', 'x-a: b\r\n', Lost",
    })
    void anAnswerWithoutEndIsNotReadAndItsConnectionClosed(String beginning, String rest, String kind)
            throws Exception {
        server.enqueueWithoutEnd(unescaped(beginning), unescaped(rest).repeat(1_000));
        assertEquals(kind, get().getClass().getSimpleName());
        long written = server.awaitEndlessAnswerClosed();
        assertTrue(written < MAX_CHUNKED_BODY_BYTES + MAX_SOCKET_BYTES, () -> written + " bytes written");
    }

    /** What follows a response belongs to no call. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\nx-a: b\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nbody", "aaaaaaaa"})
    void bytesWithoutEndBehindAResponseCloseItsConnection(String rest) throws Exception {
        server.enqueueWithoutEnd(EMPTY_ANSWER, rest);
        assertEquals(204, answered(get()).status());
        long written = server.awaitEndlessAnswerClosed();
        assertTrue(written < MAX_SOCKET_BYTES, () -> written + " bytes written");
    }

    private static String unescaped(String text) {
        return text.replace("\\r\\n", "\r\n");
    }
}
