package io.anvilpick.it;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** A target that answers every HTTP/1.1 request with the same bytes, complete or not, and closes the connection. */
final class RawTarget implements AutoCloseable {
    private static final String NO_HTTP_2 =
            "HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

    private final ServerSocket server;
    private final byte[] answer;
    private final AtomicInteger requests = new AtomicInteger();

    private RawTarget(ServerSocket server, String answer) {
        this.server = server;
        this.answer = answer.getBytes(StandardCharsets.US_ASCII);
    }

    /** Starts a target on {@code port} that answers with {@code answer}. */
    static RawTarget start(int port, String answer) throws IOException {
        RawTarget target = new RawTarget(new ServerSocket(port, 0, InetAddress.getLoopbackAddress()), answer);
        Thread.ofVirtual().start(target::accept);
        return target;
    }

    /** Returns the number of requests read so far. */
    int requests() {
        return requests.get();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket connection = server.accept();
                Thread.ofVirtual().start(() -> answer(connection));
            } catch (IOException e) {
                // The server was closed.
                return;
            }
        }
    }

    private void answer(Socket connection) {
        try (connection) {
            BufferedReader lines =
                    new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
            String requestLine = lines.readLine();
            if (requestLine == null) {
                return;
            }
            if (requestLine.startsWith("PRI ")) {
                connection.getOutputStream().write(NO_HTTP_2.getBytes(StandardCharsets.US_ASCII));
                return;
            }
            String line = requestLine;
            while (line != null && !line.isEmpty()) {
                line = lines.readLine();
            }
            requests.incrementAndGet();
            connection.getOutputStream().write(answer);
        } catch (IOException e) {
            // The daemon closed this connection. Later connections are not affected.
            return;
        }
    }
}
