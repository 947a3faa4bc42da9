import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongUnaryOperator;

/**
 * The platform's metadata store on one loopback port. It keeps its whole history. A read with {@code serializable=1} is answered from a
 * replica that may be some time behind the others, as {@link #setLag} says; all other calls see the newest state.
 */
final class Store {
    static final int PAGE_ITEMS = 500;
    static final int PAGE_BYTES = 1_000_000;
    private static final int MAX_KEY_BYTES = 200;
    private static final long SILENCE_MILLIS = 60_000;

    /** One write of a key; a null value is a deletion. */
    record Write(long atNanos, String key, String value, long rev, long created, long lease) {
        Map<String, Object> json() {
            return value == null
                    ? Json.map("key", key, "rev", rev, "deleted", true)
                    : Json.map("key", key, "value", value, "rev", rev, "created", created, "lease", lease);
        }
    }

    private record Lease(long ttlNanos, long endNanos) {}

    /** Is called before a read of a range is answered. */
    interface RangeListener {
        void onRead(String after, boolean serializable);
    }

    private final List<Write> log = new ArrayList<>();
    private final TreeMap<String, Write> current = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 10;
    private long nextLease = 1;
    private long serializableReads;
    private LongUnaryOperator lagMillis = read -> 0;
    private RangeListener listener = (after, serializable) -> {};
    private final Http.Server server;
    private volatile boolean closed;
    private volatile boolean down;

    Store() throws IOException {
        server = new Http.Server(new InetSocketAddress("127.0.0.1", 0), this::handle);
        Thread.ofVirtual().start(this::expireLeases);
    }

    String address() {
        return "127.0.0.1:" + server.port();
    }

    /** Sets how many milliseconds the replica that answers the n-th serializable read is behind. */
    synchronized void setLag(LongUnaryOperator lag) {
        lagMillis = lag;
    }

    synchronized void setListener(RangeListener value) {
        listener = value;
    }

    /** Answers no call from now on, also not later. Meanwhile all leases run out. */
    synchronized void goDown() {
        down = true;
        List.copyOf(leases.keySet()).forEach(this::endLease);
    }

    synchronized void comeBack() {
        down = false;
    }

    void close() throws IOException {
        closed = true;
        server.kill();
    }

    /** Writes a value on behalf of the operator or of a target, and returns its revision. */
    synchronized long put(String key, String text) {
        return write(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), 0);
    }

    synchronized void delete(String key) {
        if (current.containsKey(key)) {
            write(key, null, 0);
        }
    }

    synchronized boolean contains(String key) {
        return current.containsKey(key);
    }

    private long write(String key, String value, long lease) {
        revision++;
        Write before = current.get(key);
        Write written =
                new Write(System.nanoTime(), key, value, revision, before == null ? revision : before.created(), lease);
        log.add(written);
        if (value == null) {
            current.remove(key);
        } else {
            current.put(key, written);
        }
        notifyAll();
        return revision;
    }

    private void expireLeases() {
        try {
            while (!closed) {
                Thread.sleep(20);
                synchronized (this) {
                    long now = System.nanoTime();
                    List<Long> ended = leases.entrySet().stream()
                            .filter(entry -> entry.getValue().endNanos() - now <= 0)
                            .map(Map.Entry::getKey)
                            .toList();
                    ended.forEach(this::endLease);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean endLease(long lease) {
        boolean existed = leases.remove(lease) != null;
        current.values().stream()
                .filter(item -> item.lease() == lease && lease != 0)
                .map(Write::key)
                .toList()
                .forEach(key -> write(key, null, 0));
        return existed;
    }

    private void handle(Http.Message request, Socket socket) throws IOException, InterruptedException {
        Thread.sleep(4);
        if (down) {
            beSilent();
        }
        String path = request.path();
        Map<String, String> query = request.query();
        if (path.equals("/api/kv-watch")) {
            watch(query, socket);
        } else if (path.equals("/api/kv-range")) {
            range(query, socket);
        } else if (path.equals("/api/kv-txn")) {
            txn(Json.object(request.text()), socket);
        } else if (path.equals("/api/kv-lease")) {
            respond(socket, 200, grant(((Number) Json.object(request.text()).get("ttlMs")).longValue()));
        } else if (path.startsWith("/api/kv-keep/")) {
            boolean kept = keep(idIn(path));
            respond(socket, kept ? 200 : 404, Json.map());
        } else if (path.startsWith("/api/kv-lease-end/")) {
            boolean ended;
            synchronized (this) {
                ended = endLease(idIn(path));
            }
            respond(socket, ended ? 200 : 404, Json.map());
        } else {
            respond(socket, 404, Json.map());
        }
    }

    /** Never answers. The caller closes the connection when its time is over. */
    private static void beSilent() throws IOException, InterruptedException {
        Thread.sleep(SILENCE_MILLIS);
        throw new IOException("no answer");
    }

    private static long idIn(String path) {
        return Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
    }

    private static void respond(Socket socket, int status, Object body) throws IOException {
        Http.respond(
                socket,
                status,
                Map.of("Content-Type", "application/json"),
                Json.write(body).getBytes(StandardCharsets.UTF_8));
    }

    private synchronized Map<String, Object> grant(long ttlMs) {
        long ttlNanos = Math.max(1_000, ttlMs) * 1_000_000;
        leases.put(nextLease, new Lease(ttlNanos, System.nanoTime() + ttlNanos));
        return Json.map("lease", nextLease++, "ttlMs", ttlNanos / 1_000_000);
    }

    private synchronized boolean keep(long id) {
        Lease renewed = leases.computeIfPresent(
                id, (key, lease) -> new Lease(lease.ttlNanos(), System.nanoTime() + lease.ttlNanos()));
        return renewed != null;
    }

    private void range(Map<String, String> query, Socket socket) throws IOException {
        boolean serializable = query.getOrDefault("serializable", "0").equals("1");
        String after = query.getOrDefault("after", "");
        listener.onRead(after, serializable);
        List<Map<String, Object>> items = new ArrayList<>();
        boolean more = false;
        long readRevision;
        synchronized (this) {
            TreeMap<String, Write> state = current;
            readRevision = revision;
            if (serializable) {
                long asOf = System.nanoTime() - lagMillis.applyAsLong(serializableReads++) * 1_000_000;
                state = new TreeMap<>();
                readRevision = 10;
                for (Write write : log) {
                    if (write.atNanos() - asOf > 0) {
                        break;
                    }
                    state.put(write.key(), write);
                    readRevision = write.rev();
                }
                state.values().removeIf(write -> write.value() == null);
            }
            long bytes = 0;
            for (Write item : state.tailMap(after, false).values()) {
                if (!item.key().startsWith(query.getOrDefault("prefix", ""))) {
                    continue;
                }
                long next = bytes + item.value().length() + item.key().length();
                if (items.size() == PAGE_ITEMS || !items.isEmpty() && next > PAGE_BYTES) {
                    more = true;
                    break;
                }
                bytes = next;
                items.add(item.json());
            }
        }
        respond(socket, 200, Json.map("items", items, "hasMore", more, "storeRevision", readRevision));
    }

    private void watch(Map<String, String> query, Socket socket) throws IOException, InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
        List<Map<String, Object>> events = new ArrayList<>();
        long readRevision;
        synchronized (this) {
            while (!down && revision <= after && System.nanoTime() - end < 0) {
                wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
            }
            for (int i = log.size() - 1; i >= 0 && log.get(i).rev() > after; i--) {
                if (log.get(i).key().startsWith(query.getOrDefault("prefix", ""))) {
                    events.addFirst(log.get(i).json());
                }
            }
            readRevision = revision;
        }
        if (down) {
            beSilent();
        }
        respond(socket, 200, Json.map("events", events, "storeRevision", readRevision));
    }

    @SuppressWarnings("unchecked")
    private void txn(Map<String, Object> body, Socket socket) throws IOException {
        int status = 200;
        Object answer;
        synchronized (this) {
            List<Map<String, Object>> puts = (List<Map<String, Object>>) body.getOrDefault("puts", List.of());
            List<String> deletes = (List<String>) body.getOrDefault("deletes", List.of());
            List<Map<String, Object>> rows = (List<Map<String, Object>>) body.getOrDefault("precondition", List.of());
            boolean holds = rows.stream().allMatch(row -> revOf((String) row.get("key"))
                    == ((Number) row.get("rev")).longValue());
            boolean forbidden = puts.stream().map(put -> (String) put.get("key")).anyMatch(key -> key.startsWith("op/")
                    || key.startsWith("servers/")
                    || key.getBytes(StandardCharsets.UTF_8).length > MAX_KEY_BYTES);
            boolean leased = puts.stream().map(Store::leaseOf).allMatch(id -> id == 0 || leases.containsKey(id));
            if (forbidden) {
                status = 403;
                answer = Json.map();
            } else if (!holds) {
                status = 412;
                List<Object> items = new ArrayList<>();
                rows.forEach(row -> {
                    Write item = current.get((String) row.get("key"));
                    if (item != null) {
                        items.add(item.json());
                    }
                });
                answer = Json.map("items", items);
            } else if (!leased) {
                status = 404;
                answer = Json.map();
            } else {
                puts.forEach(put -> write((String) put.get("key"), (String) put.get("value"), leaseOf(put)));
                deletes.forEach(this::delete);
                answer = Json.map("rev", revision);
            }
        }
        respond(socket, status, answer);
    }

    private static long leaseOf(Map<String, Object> put) {
        return put.get("lease") instanceof Number number ? number.longValue() : 0;
    }

    private long revOf(String key) {
        Write item = current.get(key);
        return item == null ? 0 : item.rev();
    }
}
