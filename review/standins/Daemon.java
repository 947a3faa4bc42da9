package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * An entry daemon, started by the command of the deploy file with a settings file like that of a small deployment. Its processes end
 * with this one.
 */
final class Daemon {
    final String name;
    final int frontPort;
    private final int readyPort;
    private final int directoryPort;
    private final Path settings;
    private final Path log;
    private Process process;

    Daemon(String name, Store store, Path folder) throws IOException {
        this.name = name;
        List<Integer> ports = freePorts(4);
        frontPort = ports.get(0);
        readyPort = ports.get(1);
        directoryPort = ports.get(2);
        int internal = freeRange(16);
        settings = folder.resolve(name + ".json");
        log = folder.resolve(name + ".log");
        Files.writeString(settings, """
                {"node": "%s", "role": "entry", "class": "front", "serves": ["front", "directory"], "ip": "127.0.0.1",
                 "zone": "bg-east-a", "region": "bg-east", "zones": {"bg-east-a": "bg-east"},
                 "listen": {"front": "127.0.0.1:%d", "ready": "127.0.0.1:%d", "directory": "127.0.0.1:%d"},
                 "internalPorts": [%d, %d], "seeds": [], "bootstrap": true, "lossCounts": false,
                 "limits": {"cpuShare": 0.9, "cores": 2, "memoryMb": 950, "maxFds": 12300, "linkMbps": 3000.0, "diskMb": 0},
                 "dataDir": null, "discovery": "platform", "entry": "directory", "heartbeatMs": 1500,
                 "contracts": ["base", "drain", "config", "cost", "retry", "recover", "health", "platform"],
                 "tolerate": {"machines": 1, "zones": 0, "regions": 0},
                 "bounds": {"seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 3000, "ackMs": 4000, "catchUpS": 4,
                  "drainMs": 2000, "graceS": 6, "lostSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250,
                  "stretchMaxMs": 5000, "retryRatio": 0.2, "budgetWindowS": 10, "retryAllowance": 58, "recoveryS": 15,
                  "ttl_max_s": 5, "probesPerS": 60},
                 "platform": {"addr": "%s", "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
                  "valueBytes": 1048576, "ttlMinMs": 1000}}
                """.formatted(name, frontPort, readyPort, directoryPort, internal, internal + 15, store.address()));
    }

    /** Starts the process from the working directory, which is the root of the repository. */
    void start() throws IOException {
        List<String> command = new ArrayList<>();
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                command.addAll(List.of(line.substring("run = \"".length(), line.lastIndexOf('"')).split(" ")));
            }
        }
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("ANVILPICK_CONFIG", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        process.getOutputStream().close();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    /** Returns the status of the readiness page; 0 if the daemon does not answer it within a second. */
    int readiness() {
        try (Caller caller = new Caller(readyPort)) {
            return caller.send("GET /api/readyz HTTP/1.1", java.util.Map.of("Host", "ready"), new byte[0], 1_000)
                    .status();
        } catch (IOException e) {
            return 0;
        }
    }

    boolean awaitReady(long millis) throws InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end) {
            if (readiness() == 200) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.destroy();
    }

    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
    }

    private static List<Integer> freePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
            sockets.add(socket);
            ports.add(socket.getLocalPort());
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    /** Returns the first of {@code count} consecutive free ports below the range of ephemeral ports. */
    private static int freeRange(int count) throws IOException {
        for (int attempt = 0; attempt < 100; attempt++) {
            int first = 12_000 + (int) (Math.random() * 18_000);
            try {
                for (int port = first; port < first + count; port++) {
                    new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1")).close();
                }
                return first;
            } catch (java.net.BindException e) {
                // One of these ports is in use: try others.
            }
        }
        throw new IOException("no free range of ports");
    }
}
