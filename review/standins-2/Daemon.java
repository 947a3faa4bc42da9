import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** An entry daemon as a process of its own, started with the command of deploy/system.toml. */
final class Daemon {
    /** The processes that were started, which end with this one, however that ends. */
    private static final Set<Process> STARTED = ConcurrentHashMap.newKeySet();

    /** The ports that were given out, which may not be in use yet. */
    private static final Set<Integer> TAKEN = ConcurrentHashMap.newKeySet();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> STARTED.forEach(Process::destroyForcibly)));
    }

    private final Path repository;
    private final Path settings;
    private final Path log;
    private final String name;
    private final String zone;
    private final String storeAddress;
    private final Map<String, Object> bounds;
    private final int front;
    private final int ready;
    private final int directory;
    private final int internal;
    private Process process;

    Daemon(Path repository, Path folder, String name, String zone, String storeAddress, Map<String, Object> bounds)
            throws IOException {
        this.repository = repository;
        this.settings = folder.resolve(name + ".json");
        this.log = folder.resolve(name + ".log");
        this.name = name;
        this.zone = zone;
        this.storeAddress = storeAddress;
        this.bounds = bounds;
        this.front = freePort();
        this.ready = freePort();
        this.directory = freePort();
        this.internal = freePort();
    }

    /** The bounds of sites/plazhna-prod.toml, as the settings file of its machines holds them. */
    static Map<String, Object> plazhnaBounds() {
        return Json.map(
                "seedLagS", 3, "reuseAfterS", 2, "stableWindowMs", 3000, "ackMs", 4000, "catchUpS", 4, "drainMs", 2000,
                "graceS", 6, "lostSlackMs", 200, "configApplyMs", 2000, "rollbackSlackMs", 250, "stretchMaxMs", 5000,
                "retryRatio", 0.2, "budgetWindowS", 10, "retryAllowance", 58, "recoveryS", 15, "ttl_max_s", 5,
                "probesPerS", 60);
    }

    /** The bounds of grown/plazhna-prod-grown.toml. */
    static Map<String, Object> grownPlazhnaBounds() {
        Map<String, Object> bounds = plazhnaBounds();
        bounds.putAll(Json.map(
                "ackMs", 5000, "catchUpS", 6, "drainMs", 2500, "configApplyMs", 2500, "retryAllowance", 178));
        return bounds;
    }

    /** The bounds of demands/fsw-cdr-gateway-grown.toml, but for the one that concerns evacuations. */
    static Map<String, Object> tenantBounds() {
        Map<String, Object> bounds = grownPlazhnaBounds();
        bounds.putAll(Json.map(
                "revokeMs", 5000, "quotaWindowS", 5, "quotaOvershoot", 0.1, "quotaSlack", 20, "retryAllowance", 222));
        return bounds;
    }

    String name() {
        return name;
    }

    boolean isRunning() {
        return process.isAlive();
    }

    InetSocketAddress front() {
        return new InetSocketAddress("127.0.0.1", front);
    }

    /** Starts the process. {@code bootstrap} is true only when the whole system starts for the first time. */
    void start(boolean bootstrap) throws IOException {
        Map<String, Object> listen = Json.map(
                "front", "127.0.0.1:" + front, "ready", "127.0.0.1:" + ready, "directory", "127.0.0.1:" + directory);
        Files.writeString(
                settings,
                Json.write(Json.map(
                        "node", name, "role", "entry", "class", "front", "serves", List.of("front", "directory"),
                        "ip", "127.0.0.1", "zone", zone, "region", "bg-east",
                        "zones", Json.map("bg-east-a", "bg-east", "bg-east-b", "bg-east", "bg-east-c", "bg-east"),
                        "listen", listen, "internalPorts", List.of(internal, internal + 1), "seeds", List.of(),
                        "bootstrap", bootstrap, "lossCounts", false,
                        "limits", Json.map("cpuShare", 0.9, "cores", 2, "memoryMb", 950, "maxFds", 12300),
                        "dataDir", null, "discovery", "platform", "entry", "directory", "heartbeatMs", 1500,
                        "contracts",
                                List.of("base", "drain", "config", "cost", "retry", "recover", "health", "platform"),
                        "tolerate", Json.map("machines", 1, "zones", 0, "regions", 0), "bounds", bounds,
                        "platform",
                                Json.map(
                                        "addr", storeAddress, "form", "kv", "writesPerS", 400, "readsPerS", 2000,
                                        "historyS", 20, "valueBytes", 1048576, "ttlMinMs", 1000))));
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.directory(repository.toFile());
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("ANVILPICK_CONFIG", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        STARTED.add(process);
    }

    /** Returns the words of the command that the deploy file gives for the role. */
    private List<String> command() throws IOException {
        for (String line : Files.readAllLines(repository.resolve("deploy/system.toml"), StandardCharsets.UTF_8)) {
            if (line.startsWith("run = \"")) {
                String command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                return new ArrayList<>(List.of(command.split(" ")));
            }
        }
        throw new IOException("deploy/system.toml has no command");
    }

    boolean isReady() {
        Http.Message answer = Http.call(
                new InetSocketAddress("127.0.0.1", ready),
                "GET",
                "/api/readyz",
                Map.of("Host", "127.0.0.1"),
                new byte[0],
                1_000);
        return answer != null && answer.status() == 200;
    }

    void awaitReady(long timeoutMillis) throws IOException, InterruptedException {
        long end = System.nanoTime() + timeoutMillis * 1_000_000;
        while (!isReady()) {
            if (System.nanoTime() - end > 0 || !process.isAlive()) {
                throw new IOException(name + " is not ready");
            }
            Thread.sleep(20);
        }
    }

    /** Sends SIGTERM and waits for the end; sends SIGKILL after the grace period, as the platform does. */
    void terminate(long graceMillis) throws InterruptedException {
        process.destroy();
        if (!process.waitFor(graceMillis, TimeUnit.MILLISECONDS)) {
            kill();
        }
    }

    void kill() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly();
            process.waitFor();
        }
    }

    /** Returns a free port below those that the kernel gives to outgoing connections, so that it stays free over a restart. */
    private static int freePort() throws IOException {
        for (int i = 0; i < 200; i++) {
            int port = ThreadLocalRandom.current().nextInt(10_000, 32_000);
            if (!TAKEN.contains(port) && !TAKEN.contains(port + 1) && isFree(port) && isFree(port + 1)) {
                TAKEN.add(port);
                TAKEN.add(port + 1);
                return port;
            }
        }
        throw new IOException("no free port");
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
