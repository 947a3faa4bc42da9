package io.anvilpick.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.anvilpick.messages.PeerReply;
import io.anvilpick.peer.PeerServer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PeerServerTest {
    private static final byte[] UNREADABLE_FRAME = {0, 0, 0, 1, 0};
    private static final int END = -1;
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void closeLoops() {
        loops.shutdownGracefully();
    }

    /** Guards against a closed server that goes on answering on the connections it has accepted. */
    @Test
    void closeEndsAcceptedConnections() throws Exception {
        PeerServer server = PeerServer.listen(
                loops,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                request -> new PeerReply.Rejected("not expected"));
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            awaitAccepted(server);
            server.close();
            assertEquals(END, socket.getInputStream().read());
        }
    }

    /** Waits until the server has closed a later connection, which it accepts after the earlier ones. */
    private static void awaitAccepted(PeerServer server) throws Exception {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.getOutputStream().write(UNREADABLE_FRAME);
            assertEquals(END, socket.getInputStream().read());
        }
    }
}
