package io.anvilpick.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.anvilpick.fleet.StoreRevision;
import io.anvilpick.messages.PeerException;
import io.anvilpick.messages.PeerReply;
import io.anvilpick.messages.StoreUpdateRequest;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a head of HTTP, valid or not, that counts as the reply of another daemon. Replies between daemons are frames of
 * protobuf and have no status line.
 */
@Timeout(60)
class HttpHeadTest {
    private static final TimeSource TIME = TimeSource.system();
    private static final int END_OF_STREAM = -1;

    private static EventLoopGroup loops;

    @BeforeAll
    static void startLoops() {
        loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    }

    @AfterAll
    static void closeLoops() {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Reads what the client sends until it has closed the connection. */
    private static void awaitClosed(Socket socket) throws Exception {
        while (socket.getInputStream().read() != END_OF_STREAM) {
            // The request is not needed.
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK",
                "HTTP/1.1 000 No",
                "HTTP/1.1 101 Switching Protocols",
                "HTTP/1.1 999 No",
                "HTTP/1.1 -1 No",
                "HTTP/2.0 200 OK",
                "HTTP/9.9 200 OK",
            })
    void aHeadOfHttpEndsItsRequestAndItsConnection(String statusLine) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                PeerClient client = new PeerClient(loops, TIME)) {
            CompletableFuture<PeerReply> reply = client.send(
                    "127.0.0.1:" + server.getLocalPort(),
                    new StoreUpdateRequest(new StoreRevision(0, 1)),
                    Deadline.after(TIME, Duration.ofSeconds(50)));
            try (Socket socket = server.accept()) {
                String answer = statusLine + "\r\ncontent-length: 0\r\n\r\n";
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
                awaitClosed(socket);
                ExecutionException failure = assertThrows(ExecutionException.class, reply::get);
                assertEquals(
                        "connection lost",
                        assertInstanceOf(PeerException.class, failure.getCause())
                                .getMessage());
            }
        }
    }
}
