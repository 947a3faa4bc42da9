package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stand-in of a target. It registers itself in the store, runs as many requests at once as it has slots, queues a few more and
 * rejects the rest.
 */
class Target implements AutoCloseable {
    static final int HEARTBEAT_MILLIS = 1_500;

    final String id;
    final String service;
    final Journal journal;
    private final Store store;
    private final ServerSocket server;
    private final int slots;
    private final int queue;
    private final int workMillis;
    private final long bornMillis = System.currentTimeMillis();
    private final Semaphore free;
    private final AtomicInteger present = new AtomicInteger();
    private volatile String state = "ready";
    private volatile boolean registered;
    private long sequence;

    Target(Store store, Journal journal, String id, String service, int slots, int queue, int workMillis)
            throws IOException {
        this.store = store;
        this.journal = journal;
        this.id = id;
        this.service = service;
        this.slots = slots;
        this.queue = queue;
        this.workMillis = workMillis;
        this.free = new Semaphore(slots, true);
        this.server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Thread.ofVirtual().start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Writes the registration now and with each heartbeat. */
    void register() {
        registered = true;
        beat();
        Thread.ofVirtual().start(() -> {
            try {
                while (registered) {
                    Thread.sleep(HEARTBEAT_MILLIS);
                    beat();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private synchronized void beat() {
        if (registered) {
            sequence++;
            store.put("servers/" + id, """
                    {"service":"%s","addr":"%s","zone":"bg-east-a","version":"v1","slots":%d,"state":"%s",\
                    "warmupLeftMs":0,"seq":%d,"born":%d}"""
                    .formatted(service, address(), slots, state, sequence, bornMillis));
        }
    }

    /** Reports that the target is draining. */
    synchronized void drain() {
        state = "draining";
        beat();
    }

    /** Removes the registration. The target still serves until it is closed. */
    synchronized void deregister() {
        registered = false;
        store.delete("servers/" + id);
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            var in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            Connection connection = new Connection();
            while (true) {
                Http.Message request = Http.read(in, false);
                if (request == null) {
                    return;
                }
                beforeAnswer(connection, request, out);
                byte[] answer = answer(request);
                Http.write(out, answer);
                afterAnswer(connection, answer);
            }
        } catch (IOException | InterruptedException e) {
            // The daemon has closed the connection.
        }
    }

    /** What a faulty target remembers of a connection. */
    static final class Connection {
        byte[] lateCopy;
    }

    /** Returns how long work takes on the machine of the target, in percent of the usual time. */
    int slowPercent() {
        return 100;
    }

    /** Returns the milliseconds that a status check takes. */
    int checkMillis() {
        return 0;
    }

    /** Returns whether the target tells its load. The status check of one that does not waits for a slot. */
    boolean tellsLoad() {
        return true;
    }

    /** Returns whether the target rejects a request although it has room for it. */
    boolean rejects() {
        return false;
    }

    /** Called when a request has been read. */
    void beforeAnswer(Connection connection, Http.Message request, OutputStream out) throws IOException {}

    /** Called when an answer has been sent. */
    void afterAnswer(Connection connection, byte[] answer) {}

    private byte[] answer(Http.Message request) throws InterruptedException {
        Map<String, String> headers = new LinkedHashMap<>();
        if (tellsLoad()) {
            int now = present.get();
            headers.put("Server-Load", "%d,%d,%d,%d".formatted(Math.min(now, slots), Math.max(0, now - slots), slots, slowPercent()));
        }
        boolean isCheck = request.path().equals("/healthz");
        if (isCheck && tellsLoad()) {
            Thread.sleep(checkMillis());
            return check(headers);
        }
        String attempt = request.header("attempt-id");
        if (!isCheck && !request.header("expect-instance").equals(id)) {
            headers.put("Instance-Id", id);
            journal.add("target %s rejects %s 421", id, attempt);
            return Http.message("HTTP/1.1 421 Misdirected Request", headers, new byte[0]);
        }
        if (!isCheck) {
            headers.put("Attempt-Id", attempt);
        }
        if (present.incrementAndGet() > slots + queue || !isCheck && rejects()) {
            present.decrementAndGet();
            headers.put("Not-Executed", "1");
            journal.add("target %s rejects %s 503", id, isCheck ? "a status check" : attempt);
            return Http.message("HTTP/1.1 503 Service Unavailable", headers, new byte[0]);
        }
        free.acquire();
        try {
            if (isCheck) {
                return check(headers);
            }
            ran(request);
            Thread.sleep(workMillis * slowPercent() / 100);
        } finally {
            free.release();
            present.decrementAndGet();
        }
        headers.put("Response-Seal", "3e1b.07.5a2.600.0." + attempt);
        journal.add("target %s answers %s 200", id, attempt);
        return Http.message("HTTP/1.1 200 OK", headers, body(request));
    }

    private byte[] check(Map<String, String> headers) {
        headers.put("Instance-Id", id);
        return Http.message(
                state.equals("ready") ? "HTTP/1.1 200 OK" : "HTTP/1.1 503 Service Unavailable", headers, new byte[0]);
    }

    /** Called when the target begins to work on a request. */
    void ran(Http.Message request) {
        journal.add("target %s runs %s %s", id, request.header("attempt-id"), request.startLine());
    }

    byte[] body(Http.Message request) {
        return ("done " + request.header("attempt-id") + " by " + service + "/" + id).getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void close() throws IOException {
        registered = false;
        server.close();
    }
}
