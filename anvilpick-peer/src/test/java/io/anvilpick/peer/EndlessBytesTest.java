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
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
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

/** Checks that bytes that are no frame and come without end close a connection between daemons before they fill the memory. */
@Timeout(60)
class EndlessBytesTest {
    private static final TimeSource TIME = TimeSource.system();

    /** What precedes the endless bytes: a frame length of 2 GB, one of 4 GB, and the beginning of an HTTP answer. */
    private static final String LENGTH_OF_2_GB = "\u007f\u00ff\u00ff\u00ff";

    private static final String LENGTH_OF_4_GB = "\u00ff\u00ff\u00ff\u00ff";
    private static final String HTTP_ANSWER = "HTTP/1.1 200 OK\r\n";

    private static EventLoopGroup loops;

    @BeforeAll
    static void startLoops() {
        loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    }

    @AfterAll
    static void closeLoops() {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Writes {@code beginning} and then other bytes until the peer closes the connection. */
    private static void writeUntilClosed(Socket socket, String beginning) {
        byte[] rest = new byte[10_000];
        try {
            OutputStream out = socket.getOutputStream();
            out.write(beginning.getBytes(StandardCharsets.ISO_8859_1));
            while (true) {
                out.write(rest);
            }
        } catch (IOException e) {
            // The peer has closed the connection.
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {LENGTH_OF_2_GB, LENGTH_OF_4_GB, HTTP_ANSWER})
    void aReplyWithoutEndEndsItsRequestAndItsConnection(String beginning) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                PeerClient client = new PeerClient(loops, TIME)) {
            CompletableFuture<PeerReply> reply = client.send(
                    "127.0.0.1:" + server.getLocalPort(),
                    new StoreUpdateRequest(new StoreRevision(0, 1)),
                    Deadline.after(TIME, Duration.ofSeconds(50)));
            try (Socket socket = server.accept()) {
                writeUntilClosed(socket, beginning);
                ExecutionException failure = assertThrows(ExecutionException.class, reply::get);
                assertEquals(
                        "connection lost",
                        assertInstanceOf(PeerException.class, failure.getCause())
                                .getMessage());
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {LENGTH_OF_2_GB, LENGTH_OF_4_GB, HTTP_ANSWER})
    void aRequestWithoutEndClosesItsConnection(String beginning) throws Exception {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        try (PeerServer server = PeerServer.listen(loops, address, request -> new PeerReply.Acknowledged());
                Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
            writeUntilClosed(socket, beginning);
        }
    }
}
