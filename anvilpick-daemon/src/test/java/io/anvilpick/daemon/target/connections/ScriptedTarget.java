package io.anvilpick.daemon.target.connections;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;

/** A fake target that answers each request with the next enqueued bytes. */
final class ScriptedTarget implements AutoCloseable {
    /** What happens to the connection after the bytes of a step. */
    enum Ending {
        KEEP,
        CLOSE,
        RESET
    }

    private record Step(String bytes, Ending ending) {}

    private final ServerSocket server;
    private final BlockingQueue<Step> steps = new LinkedBlockingQueue<>();
    final List<String> requests = new CopyOnWriteArrayList<>();
    final CountDownLatch firstRequest = new CountDownLatch(1);
    final List<Socket> connections = new CopyOnWriteArrayList<>();

    ScriptedTarget() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    /** Enqueues the bytes to write for the next request, and what happens to the connection after them. */
    void enqueue(String bytes, Ending ending) {
        steps.add(new Step(bytes, ending));
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                connections.add(socket);
                Thread.ofVirtual().start(() -> serve(socket));
            }
        } catch (IOException e) {
            // The test has closed the target.
        }
    }

    private void serve(Socket socket) {
        try {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            OutputStream out = socket.getOutputStream();
            while (true) {
                String request = readRequest(in);
                if (request.isEmpty()) {
                    return;
                }
                requests.add(request);
                firstRequest.countDown();
                Step step = steps.take();
                out.write(step.bytes().getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
                if (step.ending() == Ending.KEEP) {
                    continue;
                }
                if (step.ending() == Ending.RESET) {
                    socket.setSoLinger(true, 0);
                }
                socket.close();
                return;
            }
        } catch (IOException e) {
            // The client has closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String readRequest(BufferedReader in) throws IOException {
        StringBuilder request = new StringBuilder();
        int length = 0;
        for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
            request.append(line).append('\n');
            if (line.regionMatches(true, 0, "content-length:", 0, 15)) {
                length = Integer.parseInt(line.substring(15).trim());
            }
        }
        for (int i = 0; i < length; i++) {
            request.append((char) in.read());
        }
        return request.toString();
    }

    @Override
    public void close() {
        try {
            server.close();
            for (Socket socket : connections) {
                socket.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
