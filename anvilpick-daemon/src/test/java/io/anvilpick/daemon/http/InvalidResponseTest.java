package io.anvilpick.daemon.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import com.google.common.net.HostAndPort;
import io.anvilpick.daemon.InvalidHead;
import io.anvilpick.daemon.ScriptedServer;
import io.anvilpick.daemon.ScriptedServer.Ending;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against responses of the store that count although their head is invalid. */
@Timeout(60)
class InvalidResponseTest {
    private static final EventLoopGroup LOOPS = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private static final String EMPTY = "HTTP/1.1 204 None\r\n\r\n";

    private final TimeSource time = TimeSource.system();
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

    private ServerReply get() {
        Deadline deadline = Deadline.after(time, Duration.ofSeconds(5));
        return client.send(new ServerCall("GET", "/", new byte[0], deadline))
                .reply()
                .join();
    }

    private void assertIsAnswered(int status, String body) {
        ServerReply.Answered answered = assertInstanceOf(ServerReply.Answered.class, get());
        assertEquals(status, answered.status());
        assertArrayEquals(body.getBytes(StandardCharsets.US_ASCII), answered.body());
    }

    @ParameterizedTest
    @MethodSource("io.anvilpick.daemon.InvalidHead#all")
    void anInvalidResponseIsLostAndItsConnectionClosed(InvalidHead head) {
        server.enqueue(head.with("a: b\r\n"), Ending.KEEP);
        server.enqueue(EMPTY, Ending.KEEP);
        assertInstanceOf(ServerReply.Lost.class, get());
        assertIsAnswered(204, "");
        assertEquals(2, server.connections.size());
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 201, 299, 304, 404, 409, 418, 429, 503, 530, 599})
    void aResponseWithAnyFinalStatusPassesUnchanged(int status) {
        String body = status == 304 ? "" : "body";
        server.enqueue(
                "HTTP/1.1 " + status + " A\r\ncontent-length: " + body.length() + "\r\n\r\n" + body, Ending.KEEP);
        server.enqueue("HTTP/1.0 " + status + "\r\n\r\n" + body, Ending.CLOSE);
        assertIsAnswered(status, body);
        assertIsAnswered(status, body);
    }

    @Test
    void anInterimResponseIsNeverFinal() {
        server.enqueue("HTTP/1.1 103 Early\r\n\r\n", Ending.CLOSE);
        assertInstanceOf(ServerReply.Lost.class, get());
    }
}
