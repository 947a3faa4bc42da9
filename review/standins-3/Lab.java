import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;
import java.util.regex.*;

/**
 * A small deployment on loopback for the cases of the review: stand-ins of the platform's store, of targets and of clients, and
 * the daemons as processes that are started by the command of the deploy file.
 */
final class Lab implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    static final String[] ZONES = {"za", "zb", "zc"};

    /** Contracts and bounds of the deployment plazhna-prod. */
    static final String BASE_CONTRACTS = """
            ["base","drain","config","cost","retry","recover","health","platform"]""";

    static final String BASE_BOUNDS = """
            {"seedLagS":3,"reuseAfterS":2,"stableWindowMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":6,"lostSlackMs":200,\
            "configApplyMs":2000,"rollbackSlackMs":250,"stretchMaxMs":5000,"retryRatio":0.2,"budgetWindowS":10,"retryAllowance":58,\
            "recoveryS":15,"ttl_max_s":5,"probesPerS":60}""";

    /** Contracts and bounds of the deployment fsw-cdr-gateway-grown, with the retry allowance of a small one. */
    static final String TENANT_CONTRACTS = """
            ["base","drain","config","cost","retry","recover","health","pool","places","tenants","quota","platform"]""";

    static final String TENANT_BOUNDS = """
            {"seedLagS":3,"reuseAfterS":2,"stableWindowMs":3000,"ackMs":5000,"catchUpS":6,"drainMs":2500,"graceS":6,"lostSlackMs":200,\
            "configApplyMs":2500,"rollbackSlackMs":250,"stretchMaxMs":5000,"revokeStrict":false,"revokeMs":5000,"retryRatio":0.2,\
            "budgetWindowS":10,"retryAllowance":58,"quotaWindowS":5,"quotaOvershoot":0.1,"quotaSlack":20,"coldOver":1.5,"coldSlack":8,\
            "evacuateMs":5000,"recoveryS":15,"ttl_max_s":5,"probesPerS":60}""";

    private static final long START = System.nanoTime();
    private static final double MAX_SECONDS = 115;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path repository = Path.of(System.getProperty("repository", ".")).toAbsolutePath().normalize();
    final Path temporary;
    private final PrintWriter record;
    private final List<Daemon> daemons = new CopyOnWriteArrayList<>();

    Lab(Path folder) throws IOException {
        temporary = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
        Thread.ofPlatform().daemon().start(() -> {
            sleep(MAX_SECONDS);
            say("the case takes too long");
            killAll();
            Runtime.getRuntime().halt(NOT_RUN);
        });
    }

    /** A case, which returns one of the exit codes above. */
    interface Case {
        int run(Lab lab) throws Exception;
    }

    /** Runs a case that writes its record to {@code folder}, and exits. */
    static void main(String folder, Case body) {
        int code = NOT_RUN;
        try (Lab lab = new Lab(Path.of(folder))) {
            lab.say("trouble=%b", lab.trouble);
            code = body.run(lab);
        } catch (Exception | LinkageError e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    static double seconds() {
        return (System.nanoTime() - START) / 1e9;
    }

    /** Writes one line to record.txt. */
    void note(String format, Object... values) {
        synchronized (record) {
            record.printf(Locale.ROOT, "%8.3f %s%n", seconds(), String.format(Locale.ROOT, format, values));
        }
    }

    /** Writes one line to record.txt and to standard output. */
    void say(String format, Object... values) {
        note(format, values);
        System.out.printf(Locale.ROOT, "%8.3f %s%n", seconds(), String.format(Locale.ROOT, format, values));
    }

    static void sleep(double seconds) {
        try {
            Thread.sleep((long) (seconds * 1000));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    static Thread spawn(Callable<?> body) {
        return Thread.ofVirtual().start(() -> {
            try {
                body.call();
            } catch (IOException e) {
                // The connection has ended.
            } catch (Exception e) {
                e.printStackTrace();
            }
        });
    }

    /** A daemon process, started by the command of the deploy file. */
    final class Daemon {
        final String name;
        final String host;
        final String zone;
        final int front;
        final int ready;
        final int directory;
        final int inner;
        final Path settings;
        final Path log;
        Process process;

        Daemon(String name, String host, String zone, String bounds, String contracts, int storePort, boolean bootstrap)
                throws IOException {
            this.name = name;
            this.host = host;
            this.zone = zone;
            front = freePort(host);
            ready = freePort(host);
            directory = freePort(host);
            inner = freePort(host);
            int metrics = freePort(host);
            settings = temporary.resolve(name + ".json");
            log = temporary.resolve(name + ".log");
            int low = Math.min(inner, metrics);
            Files.writeString(settings, """
                {"node":"%s","role":"entry","class":"front","serves":["front","directory"],"ip":"%s","zone":"%s","region":"r",
                 "zones":{"za":"r","zb":"r","zc":"r"},
                 "listen":{"front":"%s:%d","ready":"%s:%d","directory":"%s:%d"},
                 "internalPorts":[%d,%d],"seeds":[],"bootstrap":%b,"lossCounts":false,
                 "limits":{"cpuShare":0.9,"cores":2,"memoryMb":950,"maxFds":12300,"linkMbps":3000.0,"diskMb":0},
                 "dataDir":null,"discovery":"platform","entry":"directory","heartbeatMs":1500,
                 "contracts":%s,"tolerate":{"machines":1,"zones":0,"regions":0},"bounds":%s,
                 "platform":{"addr":"127.0.0.1:%d","form":"kv","writesPerS":400,"readsPerS":2000,"historyS":20,"valueBytes":1048576,"ttlMinMs":1000}}
                """.formatted(name, host, zone, host, front, host, ready, host, directory, low, low + 15, bootstrap,
                    contracts, bounds, storePort));
        }

        Daemon start() throws IOException {
            String toml = Files.readString(repository.resolve("deploy/system.toml"));
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(toml);
            if (!run.find()) {
                throw new IOException("deploy/system.toml has no run line");
            }
            ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
            builder.directory(repository.toFile());
            builder.environment().put("ANVILPICK_CONFIG", settings.toString());
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            note("daemon %s starts, pid %d", name, process.pid());
            if (!daemons.contains(this)) {
                daemons.add(this);
            }
            return this;
        }

        /** Starts the daemon again; it is not the first start of the system any more. */
        Daemon startAgain() throws IOException {
            Files.writeString(settings, Files.readString(settings).replace("\"bootstrap\":true", "\"bootstrap\":false"));
            return start();
        }

        void signal(String signal) throws Exception {
            note("daemon %s gets SIG%s", name, signal);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        boolean isReady() {
            try {
                return Http.call(host, ready, "GET", "/api/readyz", Map.of("Host", host), new byte[0], 1000).status == 200;
            } catch (IOException e) {
                return false;
            }
        }

        boolean awaitReady(double seconds) {
            double end = seconds() + seconds;
            while (seconds() < end) {
                if (isReady()) {
                    return true;
                }
                sleep(0.1);
            }
            return false;
        }
    }

    /** Starts the first daemons of a system, one in each zone, and returns them; none if they are not ready in time. */
    List<Daemon> startDaemons(int count, Store store, String bounds, String contracts) throws IOException {
        List<Daemon> started = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            started.add(new Daemon("front-" + i, "127.0.0." + (20 + i), ZONES[i % ZONES.length], bounds, contracts, store.port, true).start());
        }
        for (Daemon daemon : started) {
            if (!daemon.awaitReady(20)) {
                say("%s is not ready", daemon.name);
                return List.of();
            }
        }
        say("%d daemons are ready", count);
        return started;
    }

    void killAll() {
        for (Daemon daemon : daemons) {
            if (daemon.process != null) {
                daemon.process.destroyForcibly();
            }
        }
        try (var files = Files.list(temporary)) {
            for (Path file : files.toList()) {
                Files.deleteIfExists(file);
            }
            Files.deleteIfExists(temporary);
        } catch (IOException e) {
            // A daemon that has just ended may hold its log open. The folder is a temporary one.
        }
    }

    @Override
    public void close() {
        killAll();
        record.flush();
    }

    /** Answers of a server, or the lack of them. */
    static final class Reply {
        int status;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = {};

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** A request as a server has read it. */
    static final class Request {
        String method;
        String path;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = {};

        String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    /** HTTP/1.1 by hand, so that each byte and each close is under control. */
    static final class Http {
        static String line(InputStream in) throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            int next;
            while ((next = in.read()) >= 0) {
                if (next == '\n') {
                    return bytes.toString(StandardCharsets.ISO_8859_1).stripTrailing();
                }
                bytes.write(next);
            }
            if (bytes.size() > 0) {
                throw new EOFException("cut line");
            }
            return null;
        }

        static void headers(InputStream in, Map<String, String> headers) throws IOException {
            String line;
            while ((line = line(in)) != null && !line.isEmpty()) {
                int colon = line.indexOf(':');
                headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
            }
            if (line == null) {
                throw new EOFException("cut head");
            }
        }

        static byte[] body(InputStream in, Map<String, String> headers, boolean untilClose) throws IOException {
            if (headers.getOrDefault("Transfer-Encoding", "").equalsIgnoreCase("chunked")) {
                ByteArrayOutputStream body = new ByteArrayOutputStream();
                while (true) {
                    String size = line(in);
                    if (size == null) {
                        throw new EOFException("cut chunk");
                    }
                    int length = Integer.parseInt(size.split(";")[0].trim(), 16);
                    byte[] chunk = in.readNBytes(length);
                    if (chunk.length < length) {
                        throw new EOFException("cut chunk");
                    }
                    body.write(chunk);
                    line(in);
                    if (length == 0) {
                        return body.toByteArray();
                    }
                }
            }
            String length = headers.get("Content-Length");
            if (length == null) {
                return untilClose ? in.readAllBytes() : new byte[0];
            }
            byte[] body = in.readNBytes(Integer.parseInt(length));
            if (body.length < Integer.parseInt(length)) {
                throw new EOFException("cut body");
            }
            return body;
        }

        static Request readRequest(InputStream in) throws IOException {
            String first = line(in);
            if (first == null) {
                return null;
            }
            Request request = new Request();
            String[] words = first.split(" ");
            request.method = words[0];
            request.path = words[1];
            headers(in, request.headers);
            request.body = body(in, request.headers, false);
            return request;
        }

        static Reply readReply(InputStream in, String method) throws IOException {
            while (true) {
                String first = line(in);
                if (first == null) {
                    throw new EOFException("closed without an answer");
                }
                Reply reply = new Reply();
                reply.status = Integer.parseInt(first.split(" ")[1]);
                headers(in, reply.headers);
                if (reply.status < 200) {
                    continue;
                }
                boolean none = method.equals("HEAD") || reply.status == 204 || reply.status == 304;
                reply.body = none ? reply.body : body(in, reply.headers, true);
                return reply;
            }
        }

        static byte[] request(String method, String path, Map<String, String> headers, byte[] body) {
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (body.length > 0 || !method.equals("GET")) {
                head.append("Content-Length: ").append(body.length).append("\r\n");
            }
            byte[] start = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
            byte[] whole = Arrays.copyOf(start, start.length + body.length);
            System.arraycopy(body, 0, whole, start.length, body.length);
            return whole;
        }

        /** Sends one request on a new connection. */
        static Reply call(String host, int port, String method, String path, Map<String, String> headers, byte[] body, int timeoutMs)
                throws IOException {
            try (Connection connection = new Connection(host, port, timeoutMs)) {
                return connection.call(method, path, headers, body, timeoutMs);
            }
        }
    }

    /** A client's connection. */
    static final class Connection implements AutoCloseable {
        final Socket socket = new Socket();
        final InputStream in;
        final OutputStream out;

        Connection(String host, int port, int timeoutMs) throws IOException {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(host, port), Math.min(timeoutMs, 1000));
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        Reply call(String method, String path, Map<String, String> headers, byte[] body, int timeoutMs) throws IOException {
            socket.setSoTimeout(timeoutMs);
            out.write(Http.request(method, path, headers, body));
            out.flush();
            return Http.readReply(in, method);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static byte[] answer(int status, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        byte[] start = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] whole = Arrays.copyOf(start, start.length + body.length);
        System.arraycopy(body, 0, whole, start.length, body.length);
        return whole;
    }

    /** A server that accepts connections until it is closed. */
    abstract static class Server {
        final String host;
        final int port;
        volatile ServerSocket listener;
        final Set<Socket> open = ConcurrentHashMap.newKeySet();

        Server(String host) throws IOException {
            this.host = host;
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(host, 0), 512);
            port = listener.getLocalPort();
        }

        Server listen() {
            ServerSocket current = listener;
            spawn(() -> {
                while (true) {
                    Socket socket = current.accept();
                    socket.setTcpNoDelay(true);
                    open.add(socket);
                    spawn(() -> {
                        try (socket) {
                            serve(socket);
                        } finally {
                            open.remove(socket);
                        }
                        return null;
                    });
                }
            });
            return this;
        }

        abstract void serve(Socket socket) throws Exception;

        /** Closes the listener and resets all connections, as the end of a process does. */
        void crash() throws IOException {
            listener.close();
            for (Socket socket : open) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        }

        void restart() throws IOException {
            ServerSocket next = new ServerSocket();
            next.setReuseAddress(true);
            next.bind(new InetSocketAddress(host, port), 512);
            listener = next;
            listen();
        }
    }

    /** The platform's store. */
    final class Store extends Server {
        static final class Item {
            final String value;
            final long rev;
            final long created;
            final long lease;

            Item(String value, long rev, long created, long lease) {
                this.value = value;
                this.rev = rev;
                this.created = created;
                this.lease = lease;
            }
        }

        record Event(String key, Item item, long rev) {}

        final TreeMap<String, Item> items = new TreeMap<>();
        final List<Event> events = new ArrayList<>();
        final Map<Long, long[]> leases = new HashMap<>();
        long revision = 1;
        long nextLease = 100;
        int pageSize = 500;
        volatile boolean silent;

        Store() throws IOException {
            super("127.0.0.1");
            spawn(() -> {
                while (true) {
                    Thread.sleep(100);
                    expire();
                }
            });
        }

        synchronized void expire() {
            long now = System.currentTimeMillis();
            for (Long lease : List.copyOf(leases.keySet())) {
                if (leases.get(lease)[1] < now) {
                    end(lease);
                }
            }
        }

        /** Stops to answer. Waiting calls get no answer either. */
        void fallSilent() {
            note("the store falls silent");
            silent = true;
        }

        /** Answers again. All leases have run out meanwhile. */
        synchronized void returnWithoutLeases() {
            List.copyOf(leases.keySet()).forEach(this::end);
            silent = false;
            note("the store answers again, all leases have ended");
        }

        synchronized void end(long lease) {
            if (leases.remove(lease) == null) {
                return;
            }
            for (String key : List.copyOf(items.keySet())) {
                if (items.get(key).lease == lease) {
                    delete(key);
                }
            }
        }

        synchronized long put(String key, String base64, long lease) {
            revision++;
            Item before = items.get(key);
            Item item = new Item(base64, revision, before == null ? revision : before.created, lease);
            items.put(key, item);
            events.add(new Event(key, item, revision));
            notifyAll();
            return revision;
        }

        long putText(String key, String text) {
            return put(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), 0);
        }

        synchronized void delete(String key) {
            if (items.remove(key) == null) {
                return;
            }
            revision++;
            events.add(new Event(key, null, revision));
            notifyAll();
        }

        String json(String key, Item item) {
            return "{\"key\":\"%s\",\"value\":\"%s\",\"rev\":%d,\"created\":%d,\"lease\":%d}"
                    .formatted(key, item.value, item.rev, item.created, item.lease);
        }

        @Override
        void serve(Socket socket) throws Exception {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            Request request;
            while ((request = Http.readRequest(in)) != null) {
                Thread.sleep(2);
                if (silent) {
                    // Nothing more is answered on this connection, also after the outage.
                    in.transferTo(OutputStream.nullOutputStream());
                    return;
                }
                Map<String, String> query = new HashMap<>();
                int mark = request.path.indexOf('?');
                String path = mark < 0 ? request.path : request.path.substring(0, mark);
                if (mark >= 0) {
                    for (String pair : request.path.substring(mark + 1).split("&")) {
                        int equals = pair.indexOf('=');
                        query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
                    }
                }
                byte[] answer = handle(request, path, query);
                if (!silent) {
                    out.write(answer);
                    out.flush();
                }
            }
        }

        byte[] json(int status, String body) {
            return answer(status, Map.of("Content-Type", "application/json"), body.getBytes(StandardCharsets.UTF_8));
        }

        byte[] handle(Request request, String path, Map<String, String> query) throws Exception {
            String body = new String(request.body, StandardCharsets.UTF_8);
            if (path.equals("/api/kv-range")) {
                return range(query.getOrDefault("prefix", ""), query.getOrDefault("after", ""));
            }
            if (path.equals("/api/kv-watch")) {
                return watch(query.getOrDefault("prefix", ""), Long.parseLong(query.get("after")), Long.parseLong(query.get("waitMs")));
            }
            if (path.equals("/api/kv-key")) {
                synchronized (this) {
                    Item item = items.get(query.get("key"));
                    return item == null ? json(404, "{}") : json(200, json(query.get("key"), item));
                }
            }
            if (path.equals("/api/kv-lease")) {
                long ttl = number(body, "ttlMs");
                synchronized (this) {
                    long lease = nextLease++;
                    leases.put(lease, new long[] {ttl, System.currentTimeMillis() + ttl});
                    return json(200, "{\"lease\":%d,\"ttlMs\":%d}".formatted(lease, ttl));
                }
            }
            if (path.startsWith("/api/kv-keep/")) {
                synchronized (this) {
                    long[] lease = leases.get(Long.parseLong(path.substring(13)));
                    if (lease == null) {
                        return json(404, "{}");
                    }
                    lease[1] = System.currentTimeMillis() + lease[0];
                    return json(200, "{\"ttlMs\":%d}".formatted(lease[0]));
                }
            }
            if (path.startsWith("/api/kv-lease-end/")) {
                end(Long.parseLong(path.substring(18)));
                return json(200, "{}");
            }
            if (path.equals("/api/kv-txn")) {
                return transact(body);
            }
            return json(404, "{}");
        }

        static long number(String body, String name) {
            Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*(\\d+)").matcher(body);
            return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
        }

        static String part(String body, String name) {
            Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*\\[(.*?)\\]", Pattern.DOTALL).matcher(body);
            return matcher.find() ? matcher.group(1) : "";
        }

        synchronized byte[] transact(String body) {
            Matcher rows = Pattern.compile("\"key\"\\s*:\\s*\"([^\"]*)\"\\s*,\\s*\"rev\"\\s*:\\s*(\\d+)").matcher(part(body, "precondition"));
            while (rows.find()) {
                Item item = items.get(rows.group(1));
                if ((item == null ? 0 : item.rev) != Long.parseLong(rows.group(2))) {
                    return json(412, "{\"items\":[]}");
                }
            }
            Matcher puts = Pattern.compile("\"key\"\\s*:\\s*\"([^\"]*)\"\\s*,\\s*\"value\"\\s*:\\s*\"([^\"]*)\"(\\s*,\\s*\"lease\"\\s*:\\s*(\\d+))?")
                    .matcher(part(body, "puts"));
            while (puts.find()) {
                long lease = puts.group(4) == null ? 0 : Long.parseLong(puts.group(4));
                if (lease != 0 && !leases.containsKey(lease)) {
                    return json(404, "{}");
                }
                put(puts.group(1), puts.group(2), lease);
            }
            Matcher deletes = Pattern.compile("\"([^\"]+)\"").matcher(part(body, "deletes"));
            while (deletes.find()) {
                delete(deletes.group(1));
            }
            return json(200, "{\"rev\":%d}".formatted(revision));
        }

        synchronized byte[] range(String prefix, String after) {
            StringBuilder list = new StringBuilder();
            int count = 0;
            boolean more = false;
            for (Map.Entry<String, Item> entry : items.tailMap(after, false).entrySet()) {
                if (!entry.getKey().startsWith(prefix)) {
                    continue;
                }
                if (count == pageSize) {
                    more = true;
                    break;
                }
                list.append(count++ == 0 ? "" : ",").append(json(entry.getKey(), entry.getValue()));
            }
            return json(200, "{\"items\":[%s],\"hasMore\":%b,\"storeRevision\":%d}".formatted(list, more, revision));
        }

        synchronized byte[] watch(String prefix, long after, long waitMs) throws InterruptedException {
            long end = System.currentTimeMillis() + waitMs;
            while (true) {
                StringBuilder list = new StringBuilder();
                for (Event event : events) {
                    if (event.rev > after && event.key.startsWith(prefix)) {
                        list.append(list.isEmpty() ? "" : ",").append(event.item == null
                                ? "{\"key\":\"%s\",\"rev\":%d,\"deleted\":true}".formatted(event.key, event.rev)
                                : json(event.key, event.item));
                    }
                }
                long left = end - System.currentTimeMillis();
                if (!list.isEmpty() || left <= 0) {
                    return json(200, "{\"events\":[%s],\"storeRevision\":%d}".formatted(list, revision));
                }
                wait(left);
            }
        }
    }

    /** A target, which registers itself and runs requests in its slots. */
    class Target extends Server {
        final Store store;
        final String service;
        final String zone;
        final int slots;
        final int queue = 8;
        volatile String id;
        volatile long born;
        volatile long workMs;
        volatile boolean alive = true;
        volatile boolean leaving;
        volatile boolean registers = true;
        final AtomicInteger running = new AtomicInteger();
        final AtomicInteger waiting = new AtomicInteger();
        final AtomicLong sequence = new AtomicLong();
        final Semaphore slot;
        final List<Run> runs = Collections.synchronizedList(new ArrayList<>());

        record Run(double at, String attempt, String method, String path, int bodyLength) {}

        Target(Store store, String id, String service, String zone, String host, int slots, long workMs) throws IOException {
            super(host);
            this.store = store;
            this.id = id;
            this.service = service;
            this.zone = zone;
            this.slots = slots;
            this.workMs = workMs;
            this.slot = new Semaphore(slots, true);
            born = System.currentTimeMillis();
            listen();
            register();
            spawn(() -> {
                while (true) {
                    Thread.sleep(1500);
                    if (alive && registers && !store.silent) {
                        register();
                    }
                }
            });
        }

        void register() {
            store.putText("servers/" + id, entry());
        }

        /** Returns what the target writes with its next heartbeat. */
        String entry() {
            return "{\"service\":\"%s\",\"addr\":\"%s:%d\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\",\"warmupLeftMs\":0,\"seq\":%d,\"born\":%d}"
                            .formatted(service, host, port, zone, slots, leaving ? "draining" : "ready", sequence.incrementAndGet(), born);
        }

        /** Crashes: nothing is sent any more, and the registration lapses later. */
        @Override
        void crash() throws IOException {
            alive = false;
            note("target %s crashes", id);
            super.crash();
        }

        @Override
        void restart() throws IOException {
            born = System.currentTimeMillis();
            sequence.set(0);
            note("target %s starts again", id);
            super.restart();
            alive = true;
            register();
        }

        Map<String, String> headers(Request request) {
            Map<String, String> headers = new LinkedHashMap<>();
            if (!request.header("Attempt-Id").isEmpty()) {
                headers.put("Attempt-Id", request.header("Attempt-Id"));
            }
            headers.put("Server-Load", running.get() + "," + waiting.get() + "," + slots + ",100");
            headers.put("Keep-Alive", "timeout=10");
            if (leaving) {
                headers.put("Server-Leaving", "1");
            }
            return headers;
        }

        @Override
        void serve(Socket socket) throws Exception {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            Request request;
            while ((request = Http.readRequest(in)) != null) {
                Map<String, String> headers = headers(request);
                if (request.path.equals("/healthz")) {
                    headers.put("Instance-Id", id);
                    out.write(answer(leaving ? 503 : 200, headers, new byte[0]));
                    out.flush();
                    continue;
                }
                handle(request, headers, socket, out);
            }
        }

        void handle(Request request, Map<String, String> headers, Socket socket, OutputStream out) throws Exception {
            if (!request.header("Expect-Instance").equals(id)) {
                headers.put("Instance-Id", id);
                headers.put("Not-Executed", "1");
                out.write(answer(421, headers, new byte[0]));
                out.flush();
                return;
            }
            if (waiting.get() >= queue) {
                headers.put("Not-Executed", "1");
                out.write(answer(503, headers, new byte[0]));
                out.flush();
                return;
            }
            waiting.incrementAndGet();
            try {
                slot.acquire();
            } finally {
                waiting.decrementAndGet();
            }
            running.incrementAndGet();
            try {
                runs.add(new Run(seconds(), request.header("Attempt-Id"), request.method, request.path, request.body.length));
                note("target %s runs %s %s %s (%d bytes)", id, request.header("Attempt-Id"), request.method, request.path, request.body.length);
                Thread.sleep(workMs);
            } finally {
                running.decrementAndGet();
                slot.release();
            }
            headers.put("Server-Load", running.get() + "," + waiting.get() + "," + slots + ",100");
            headers.put("Response-Seal", "seal." + request.header("Attempt-Id") + "." + id);
            respond(request, headers, socket, out);
        }

        /** Sends the answer to a request that has run. */
        void respond(Request request, Map<String, String> headers, Socket socket, OutputStream out) throws Exception {
            out.write(answer(200, headers, ("done " + request.path).getBytes(StandardCharsets.UTF_8)));
            out.flush();
        }
    }
}
