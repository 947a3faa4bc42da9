package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.StringJoiner;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A stand-in of the platform's metadata store. It is always up, loses no answer and keeps 20 seconds of history. */
final class Store implements AutoCloseable {
    private static final long HISTORY_NANOS = 20_000_000_000L;
    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1_000_000;
    private static final Pattern NUMBER = Pattern.compile("\"(lease|ttlMs)\":(\\d+)");
    private static final Pattern PUT =
            Pattern.compile("\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\",\"lease\":(\\d+)");

    private record Item(String key, String value, long rev, long created, long lease) {
        String json() {
            return "{\"key\":\"" + key + "\",\"value\":\"" + value + "\",\"rev\":" + rev + ",\"created\":" + created
                    + ",\"lease\":" + lease + "}";
        }
    }

    private record Event(long rev, String json, long atNanos) {}

    private final ServerSocket server;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final ArrayDeque<Event> history = new ArrayDeque<>();
    private final Map<Long, Long> leaseEnds = new HashMap<>();
    private final Map<Long, Long> leaseTtls = new HashMap<>();
    private long revision = 100;

    /** The revision after which the history is complete. */
    private long completeAfter = revision;

    private long nextLease = 7_000;

    Store() throws IOException {
        server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Thread.ofVirtual().start(this::accept);
        Thread.ofVirtual().start(this::expireLeases);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Writes a value and returns its revision, which is the acknowledgement. */
    synchronized long put(String key, byte[] value, long lease) {
        Item before = items.get(key);
        revision++;
        Item item = new Item(
                key,
                Base64.getEncoder().encodeToString(value),
                revision,
                before == null ? revision : before.created(),
                lease);
        items.put(key, item);
        record(item.json());
        return revision;
    }

    long put(String key, String value) {
        return put(key, value.getBytes(StandardCharsets.UTF_8), 0);
    }

    synchronized void delete(String key) {
        if (items.remove(key) != null) {
            revision++;
            record("{\"key\":\"" + key + "\",\"rev\":" + revision + ",\"deleted\":true}");
        }
    }

    private void record(String json) {
        long now = System.nanoTime();
        history.addLast(new Event(revision, json, now));
        while (now - history.getFirst().atNanos() > HISTORY_NANOS) {
            completeAfter = history.removeFirst().rev();
        }
        notifyAll();
    }

    private void expireLeases() {
        while (!server.isClosed()) {
            synchronized (this) {
                long now = System.nanoTime();
                for (long lease : new ArrayList<>(leaseEnds.keySet())) {
                    if (leaseEnds.get(lease) - now < 0) {
                        endLease(lease);
                    }
                }
            }
            sleep(50);
        }
    }

    private synchronized boolean endLease(long lease) {
        leaseTtls.remove(lease);
        if (leaseEnds.remove(lease) == null) {
            return false;
        }
        items.values().stream()
                .filter(item -> item.lease() == lease)
                .map(Item::key)
                .toList()
                .forEach(this::delete);
        return true;
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
            var in = new java.io.BufferedInputStream(socket.getInputStream());
            while (true) {
                Http.Message request = Http.read(in, false);
                if (request == null) {
                    return;
                }
                String[] answer = answer(request);
                Http.write(
                        socket.getOutputStream(),
                        Http.message(
                                "HTTP/1.1 " + answer[0] + " Status",
                                Map.of("Content-Type", "application/json"),
                                answer[1].getBytes(StandardCharsets.UTF_8)));
            }
        } catch (IOException | InterruptedException e) {
            // The daemon has closed the connection.
        }
    }

    private String[] answer(Http.Message request) throws InterruptedException {
        String path = request.path().split("\\?")[0];
        Map<String, String> query = query(request.path());
        if (path.equals("/api/kv-range")) {
            return new String[] {"200", range(query.getOrDefault("prefix", ""), query.getOrDefault("after", ""))};
        }
        if (path.equals("/api/kv-watch")) {
            return watch(
                    query.getOrDefault("prefix", ""),
                    Long.parseLong(query.get("after")),
                    Long.parseLong(query.get("waitMs")));
        }
        if (path.equals("/api/kv-key")) {
            return key(query.get("key"));
        }
        if (path.equals("/api/kv-txn")) {
            return transaction(request.text());
        }
        if (path.equals("/api/kv-lease")) {
            return new String[] {"200", grant(number(request.text(), "ttlMs"))};
        }
        if (path.startsWith("/api/kv-keep/")) {
            return renew(Long.parseLong(path.substring("/api/kv-keep/".length())));
        }
        if (path.startsWith("/api/kv-lease-end/")) {
            endLease(Long.parseLong(path.substring("/api/kv-lease-end/".length())));
            return new String[] {"200", "{}"};
        }
        return new String[] {"404", "{}"};
    }

    private synchronized String range(String prefix, String after) {
        StringBuilder page = new StringBuilder();
        int count = 0;
        boolean hasMore = false;
        for (Item item : items.tailMap(after, false).values()) {
            if (!item.key().startsWith(prefix)) {
                continue;
            }
            if (count > 0 && (count == PAGE_ITEMS || page.length() + item.value().length() > PAGE_BYTES)) {
                hasMore = true;
                break;
            }
            page.append(count == 0 ? "" : ",").append(item.json());
            count++;
        }
        return "{\"items\":[" + page + "],\"hasMore\":" + hasMore + ",\"storeRevision\":" + revision + "}";
    }

    private synchronized String[] watch(String prefix, long after, long waitMillis) throws InterruptedException {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        while (revision <= after && System.nanoTime() < end) {
            wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
        }
        if (after < completeAfter) {
            return new String[] {"410", "{}"};
        }
        StringJoiner events = new StringJoiner(",");
        for (Event event : history) {
            if (event.rev() > after && event.json().startsWith("{\"key\":\"" + prefix)) {
                events.add(event.json());
            }
        }
        return new String[] {"200", "{\"events\":[" + events + "],\"storeRevision\":" + revision + "}"};
    }

    private synchronized String[] key(String key) {
        Item item = items.get(key);
        return item == null
                ? new String[] {"404", "{}"}
                : new String[] {
                    "200", item.json().replaceFirst("}$", ",\"storeRevision\":" + revision + "}")
                };
    }

    /** Serves transactions without preconditions, the only ones that the daemon sends. */
    private synchronized String[] transaction(String body) {
        Matcher put = PUT.matcher(body);
        while (put.find()) {
            long lease = Long.parseLong(put.group(3));
            if (lease != 0 && !leaseEnds.containsKey(lease)) {
                return new String[] {"404", "{}"};
            }
            put(put.group(1), Base64.getDecoder().decode(put.group(2)), lease);
        }
        return new String[] {"200", "{\"rev\":" + revision + "}"};
    }

    private synchronized String grant(long ttlMillis) {
        long lease = nextLease++;
        leaseTtls.put(lease, ttlMillis);
        leaseEnds.put(lease, System.nanoTime() + ttlMillis * 1_000_000);
        return "{\"lease\":" + lease + ",\"ttlMs\":" + ttlMillis + "}";
    }

    private synchronized String[] renew(long lease) {
        Long ttlMillis = leaseTtls.get(lease);
        if (ttlMillis == null) {
            return new String[] {"404", "{}"};
        }
        leaseEnds.put(lease, System.nanoTime() + ttlMillis * 1_000_000);
        return new String[] {"200", "{\"ttlMs\":" + ttlMillis + "}"};
    }

    private static long number(String body, String name) {
        Matcher matcher = NUMBER.matcher(body.replace(" ", ""));
        while (matcher.find()) {
            if (matcher.group(1).equals(name)) {
                return Long.parseLong(matcher.group(2));
            }
        }
        throw new IllegalArgumentException("no " + name + " in " + body);
    }

    private static Map<String, String> query(String path) {
        Map<String, String> query = new HashMap<>();
        int mark = path.indexOf('?');
        if (mark >= 0) {
            for (String pair : path.substring(mark + 1).split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], URLDecoder.decode(parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
