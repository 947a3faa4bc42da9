import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A backend server. It registers itself in the store, answers status checks and requests, and crashes when it begins to run a request
 * for the path that {@link #crashOn} names. A crashed target is back after {@link #RESTART_MILLIS} with another id.
 */
final class Target {
    static final long RESTART_MILLIS = 3_000;
    private static final long HEARTBEAT_MILLIS = 1_500;
    private static final long EXPIRY_MILLIS = 3 * HEARTBEAT_MILLIS;

    /** Is told what the target does with each request. */
    interface Listener {
        void onRun(Target target, Http.Message request);

        void onCrash(Target target, Http.Message request);
    }

    private final Store store;
    private final Record record;
    private final String service;
    private final String name;
    private final String zone;
    private final int slots;
    private final long workMillis;
    private final Listener listener;
    private final AtomicInteger running = new AtomicInteger();
    private volatile String crashPath = "";
    private volatile boolean ended;
    private volatile Boot boot;
    private int port;
    private int boots;

    /** One life of the target. */
    private record Boot(String id, long born, Http.Server server) {}

    Target(
            Store store,
            Record record,
            String service,
            String name,
            String zone,
            int slots,
            long workMillis,
            Listener listener)
            throws IOException {
        this.store = store;
        this.record = record;
        this.service = service;
        this.name = name;
        this.zone = zone;
        this.slots = slots;
        this.workMillis = workMillis;
        this.listener = listener;
        start();
        Thread.ofVirtual().start(this::beat);
    }

    String name() {
        return name;
    }

    String id() {
        Boot current = boot;
        return current == null ? name + " (down)" : current.id();
    }

    void crashOn(String path) {
        crashPath = path;
    }

    void end() throws IOException {
        ended = true;
        Boot current = boot;
        if (current != null) {
            current.server().kill();
        }
    }

    private synchronized void start() throws IOException {
        String id = "i-" + name + "-" + boots++;
        Http.Server server = new Http.Server(new InetSocketAddress("127.0.0.1", port), (request, socket) -> {
            handle(id, request, socket);
        });
        port = server.port();
        boot = new Boot(id, System.currentTimeMillis(), server);
    }

    private void beat() {
        long seq = 1;
        try {
            while (!ended) {
                Boot current = boot;
                if (current != null) {
                    store.put(
                            "servers/" + current.id(),
                            Json.write(Json.map(
                                    "service", service,
                                    "addr", "127.0.0.1:" + port,
                                    "zone", zone,
                                    "version", "1",
                                    "slots", slots,
                                    "state", "ready",
                                    "warmupLeftMs", 0,
                                    "seq", seq++,
                                    "born", current.born())));
                }
                Thread.sleep(HEARTBEAT_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Crashes, as a process that is killed. The target is back later with another id. */
    void crash() throws IOException {
        crash(boot);
    }

    private void crash(Boot crashed) throws IOException {
        synchronized (this) {
            if (boot != crashed || crashed == null) {
                return;
            }
            boot = null;
        }
        crashed.server().kill();
        running.set(0);
        Thread.ofVirtual().start(() -> {
            try {
                Thread.sleep(RESTART_MILLIS);
                if (!ended) {
                    start();
                    record.line("target %s is back as %s", name, id());
                }
                Thread.sleep(EXPIRY_MILLIS - RESTART_MILLIS);
                store.delete("servers/" + crashed.id());
            } catch (InterruptedException | IOException e) {
                record.line("target %s does not come back: %s", name, e);
            }
        });
    }

    private void handle(String id, Http.Message request, Socket socket) throws IOException, InterruptedException {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Server-Load", "%d,0,%d,100".formatted(running.get(), slots));
        if (request.path().equals("/healthz")) {
            headers.put("Instance-Id", id);
            Http.respond(socket, 200, headers, new byte[0]);
            return;
        }
        String expected = request.headers().getOrDefault("expect-instance", id);
        if (!expected.equals(id)) {
            headers.put("Instance-Id", id);
            Http.respond(socket, 421, headers, new byte[0]);
            return;
        }
        String attempt = request.headers().get("attempt-id");
        headers.put("Attempt-Id", attempt);
        if (running.get() >= slots) {
            headers.put("Not-Executed", "1");
            Http.respond(socket, 503, headers, new byte[0]);
            return;
        }
        running.incrementAndGet();
        try {
            listener.onRun(this, request);
            if (request.path().equals(crashPath)) {
                listener.onCrash(this, request);
                crash(boot);
                return;
            }
            Thread.sleep(workMillis);
            headers.put("Response-Seal", "seal-" + attempt);
            byte[] body = (service + " " + request.path()).getBytes(StandardCharsets.UTF_8);
            Http.respond(socket, 200, headers, body);
        } finally {
            running.updateAndGet(count -> Math.max(0, count - 1));
        }
    }
}
