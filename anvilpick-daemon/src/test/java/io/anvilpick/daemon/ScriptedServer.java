package io.anvilpick.daemon;

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
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.UnaryOperator;

/** A fake server that answers each request with the next enqueued bytes, or with those that a function returns. */
public final class ScriptedServer implements AutoCloseable {
    /** What happens to the connection after the bytes of a step. */
    public enum Ending {
        KEEP,
        CLOSE,
        RESET
    }

    /** What the server sends in answer to a request. */
    private sealed interface Step {
        /** Sends the bytes once. */
        record Once(String bytes, Ending ending) implements Step {}

        /** Sends the beginning once and then the rest again and again, until the client closes the connection. */
        record WithoutEnd(String beginning, String rest) implements Step {}
    }

    private final ServerSocket server;
    private final Optional<UnaryOperator<String>> answers;
    private final BlockingQueue<Step> steps = new LinkedBlockingQueue<>();
    private final CountDownLatch endlessAnswerClosed = new CountDownLatch(1);
    private final AtomicLong endlessBytes = new AtomicLong();

    private final Semaphore received = new Semaphore(0);

    /** The requests received so far. */
    public final List<String> requests = new CopyOnWriteArrayList<>();

    /** Is counted down by the first request. */
    public final CountDownLatch firstRequest = new CountDownLatch(1);

    /** The connections accepted so far. */
    public final List<Socket> connections = new CopyOnWriteArrayList<>();

    /** Starts a server on a free port of the loopback address. */
    public ScriptedServer() throws IOException {
        this(Optional.empty());
    }

    /** Starts a server that answers each request with the bytes that {@code answers} returns for it. */
    public ScriptedServer(UnaryOperator<String> answers) throws IOException {
        this(Optional.of(answers));
    }

    private ScriptedServer(Optional<UnaryOperator<String>> answers) throws IOException {
        this.answers = answers;
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(this::accept);
    }

    /** Waits until {@code count} requests have been received. */
    public void awaitRequests(int count) throws InterruptedException {
        received.acquire(count);
        received.release(count);
    }

    /** Returns the port on which the server listens. */
    public int port() {
        return server.getLocalPort();
    }

    /** Enqueues the bytes to write for the next request, and what happens to the connection after them. */
    public void enqueue(String bytes, Ending ending) {
        steps.add(new Step.Once(bytes, ending));
    }

    /** Enqueues an answer that does not end before the client closes the connection. */
    public void enqueueWithoutEnd(String beginning, String rest) {
        steps.add(new Step.WithoutEnd(beginning, rest));
    }

    /** Waits until the client has closed the connection of an answer without end, and returns the bytes written to it. */
    public long awaitEndlessAnswerClosed() throws InterruptedException {
        endlessAnswerClosed.await();
        return endlessBytes.get();
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
            while (true) {
                String request = readRequest(in);
                if (request.isEmpty()) {
                    return;
                }
                requests.add(request);
                firstRequest.countDown();
                received.release();
                if (!answer(socket, nextStep(request))) {
                    return;
                }
            }
        } catch (IOException e) {
            // The client has closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Step nextStep(String request) throws InterruptedException {
        return answers.isPresent() ? new Step.Once(answers.get().apply(request), Ending.KEEP) : steps.take();
    }

    /** Returns whether the connection is kept. */
    private boolean answer(Socket socket, Step step) throws IOException {
        return switch (step) {
            case Step.Once once -> answerOnce(socket, once);
            case Step.WithoutEnd endless -> {
                answerWithoutEnd(socket, endless);
                yield false;
            }
        };
    }

    private static boolean answerOnce(Socket socket, Step.Once once) throws IOException {
        write(socket, once.bytes());
        if (once.ending() == Ending.KEEP) {
            return true;
        }
        if (once.ending() == Ending.RESET) {
            socket.setSoLinger(true, 0);
        }
        socket.close();
        return false;
    }

    private void answerWithoutEnd(Socket socket, Step.WithoutEnd endless) throws IOException {
        try {
            write(socket, endless.beginning());
            while (true) {
                write(socket, endless.rest());
                endlessBytes.addAndGet(endless.rest().length());
            }
        } finally {
            endlessAnswerClosed.countDown();
        }
    }

    private static void write(Socket socket, String bytes) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(bytes.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
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
