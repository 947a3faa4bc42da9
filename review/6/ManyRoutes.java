import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The configuration grows by many routes, and clients use each of them. The daemons keep a histogram of latencies for each route that was
 * ever used, until their heap is full. From then on they answer nothing, and they do not end.
 */
public final class ManyRoutes {
    private static final int ROUTES_OF_A_CHANGE = 1_400;
    private static final int CHANGES = 3;
    private static final int DAEMONS = 3;
    private static final int TIMEOUT_MILLIS = 2_000;
    private static final int DEADLINE_MILLIS = 4_000;

    /** Time after its route's timeout at which a request must have its answer. */
    private static final long LATE_MILLIS = 500;

    /** Requests that last too long from which the rule counts. */
    private static final int MIN_LONG_REQUESTS = 8;

    private static final long REQUESTS_PER_SECOND = 80;

    /** Time for which clients send few requests, so that the new processes are warm. These requests don't count. */
    private static final long WARM_UP_MILLIS = 6_000;

    private static final long WARM_UP_REQUESTS_PER_SECOND = 10;
    private static final long CHANGE_INTERVAL_MILLIS = 12_000;
    private static final long END_MILLIS = 60_000;

    private ManyRoutes() {}

    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[0]).toAbsolutePath();
        Path repository = Path.of(arguments[1]).toAbsolutePath();
        boolean trouble = !arguments[2].equals("0");
        int code = 2;
        List<Daemon> daemons = new ArrayList<>();
        Path temporary = Files.createTempDirectory("review");
        try (Record record = new Record(folder)) {
            try {
                code = run(repository, temporary, record, daemons, trouble);
            } catch (Exception e) {
                record.line("the case could not run: %s", e);
            } finally {
                for (Daemon daemon : daemons) {
                    daemon.kill();
                }
            }
            record.line("exit %d", code);
        }
        System.exit(code == 1 ? Record.BROKEN : code);
    }

    private static int run(Path repository, Path temporary, Record record, List<Daemon> daemons, boolean trouble)
            throws Exception {
        Store store = new Store();
        store.put("op/config", configuration(7, 0));
        AtomicInteger runs = new AtomicInteger();
        Target.Listener listener = new Target.Listener() {
            @Override
            public void onRun(Target target, Http.Message request) {
                runs.incrementAndGet();
            }

            @Override
            public void onCrash(Target target, Http.Message request) {}
        };
        List<Target> targets = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            targets.add(
                    new Target(store, record, "rowboard", "s" + i, "bg-east-" + "abc".charAt(i % 3), 4, 20, listener));
        }
        for (int i = 0; i < DAEMONS; i++) {
            String zone = "bg-east-" + "abc".charAt(i);
            daemons.add(new Daemon(
                    repository, temporary, "front-" + zone + "-1", zone, store.address(), Daemon.grownPlazhnaBounds()));
        }
        for (Daemon daemon : daemons) {
            daemon.start(true);
        }
        for (Daemon daemon : daemons) {
            daemon.awaitReady(20_000);
        }
        Thread.sleep(3_500);
        Tally tally = new Tally();
        AtomicInteger routes = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        long startMillis = record.millis();
        for (Daemon daemon : daemons) {
            clients.add(Thread.ofVirtual().start(() -> sendAll(daemon, routes, startMillis, record, tally)));
        }
        for (int change = 1; change <= CHANGES; change++) {
            if (trouble) {
                store.put("op/config", configuration(7 + change, change * ROUTES_OF_A_CHANGE));
                record.line("version %08x acknowledged: %d routes more", 7 + change, ROUTES_OF_A_CHANGE);
                Thread.sleep(3_000);
                routes.set(change * ROUTES_OF_A_CHANGE);
                Thread.sleep(CHANGE_INTERVAL_MILLIS - 3_000);
            } else {
                Thread.sleep(CHANGE_INTERVAL_MILLIS);
            }
            record.line("requests sent %d, answered by targets %d", tally.sent.get(), tally.succeeded.get());
        }
        for (Thread client : clients) {
            client.join();
        }
        Thread.sleep(DEADLINE_MILLIS + 1_000);
        for (Daemon daemon : daemons) {
            record.line("%s: process runs %b, ready %b", daemon.name(), daemon.isRunning(), daemon.isReady());
        }
        for (Target target : targets) {
            target.end();
        }
        store.close();
        int lasted = tally.longRequests.get();
        int unanswered = tally.unanswered.get();
        record.line(
                "requests sent %d, answered 200 %d, otherwise %d, run by targets %d; without an answer %d ms after being sent: %d, "
                        + "of these without an answer %d ms later: %d",
                tally.sent.get(),
                tally.succeeded.get(),
                tally.otherwise.get(),
                runs.get(),
                TIMEOUT_MILLIS,
                lasted,
                LATE_MILLIS,
                unanswered);
        boolean broken = lasted >= MIN_LONG_REQUESTS && 2 * unanswered > lasted;
        record.line("CONFIG %s", broken ? "broken" : "held");
        return broken ? 1 : 0;
    }

    /** The requests so far and how they ended. */
    private static final class Tally {
        private final AtomicInteger sent = new AtomicInteger();
        private final AtomicInteger succeeded = new AtomicInteger();
        private final AtomicInteger otherwise = new AtomicInteger();
        private final AtomicInteger longRequests = new AtomicInteger();
        private final AtomicInteger unanswered = new AtomicInteger();
    }

    /** Sends requests at a steady rate, one on each route in turn. */
    private static void sendAll(Daemon daemon, AtomicInteger routes, long startMillis, Record record, Tally tally) {
        try {
            Tally ignored = new Tally();
            for (long i = 0; record.millis() - startMillis < WARM_UP_MILLIS; i++) {
                Thread.sleep(1_000 / WARM_UP_REQUESTS_PER_SECOND);
                Thread.ofVirtual().start(() -> send(daemon, 0, record, ignored));
            }
            int route = 0;
            for (long i = 0; record.millis() - startMillis < END_MILLIS; i++) {
                long due = startMillis + WARM_UP_MILLIS + i * 1_000 / REQUESTS_PER_SECOND;
                Thread.sleep(Math.max(0, due - record.millis()));
                int used = route < routes.get() ? ++route : 0;
                Thread.ofVirtual().start(() -> send(daemon, used, record, tally));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void send(Daemon daemon, int route, Record record, Tally tally) {
        tally.sent.incrementAndGet();
        long sentMillis = record.millis();
        String id = Caller.nextId();
        Caller.Result result = Caller.send(daemon, id, "GET", prefix(route) + "x", Map.of(), DEADLINE_MILLIS);
        long elapsed = record.millis() - sentMillis;
        if (result.status() == 200) {
            tally.succeeded.incrementAndGet();
        } else if (result.status() != 0) {
            tally.otherwise.incrementAndGet();
        }
        if (elapsed <= TIMEOUT_MILLIS) {
            return;
        }
        tally.longRequests.incrementAndGet();
        if (elapsed <= TIMEOUT_MILLIS + LATE_MILLIS) {
            return;
        }
        if (tally.unanswered.incrementAndGet() <= 20) {
            record.line(
                    "attempt=%s to %s on route %d sent at %d: status %d after %d ms",
                    id, daemon.name(), route, sentMillis, result.status(), elapsed);
        }
    }

    private static String prefix(int route) {
        return route == 0 ? "/lepu270/" : "/more%05d/".formatted(route);
    }

    private static String configuration(int version, int moreRoutes) {
        List<Object> rows = new ArrayList<>();
        for (int i = 0; i <= moreRoutes; i++) {
            rows.add(List.of("r" + i, Caller.HOST, prefix(i), "idempotent", TIMEOUT_MILLIS, 600, 2, 2, "rowboard"));
        }
        List<String> routes = List.of(
                "name", "host", "prefix", "kind", "timeoutMs", "aimMs", "priority", "attempts", "service");
        return Json.write(Json.map(
                "version", "%08x".formatted(version),
                "routes", Json.map("columns", routes, "rows", rows),
                "services",
                        Json.map("columns", List.of("name", "healthPath", "maxConns"), "rows", List.of(
                                List.of("rowboard", "/healthz", 940))),
                "limits",
                        Json.map("maxHeaderBytes", 16384, "maxBodyBytes", 1048576, "headerTimeoutMs", 3000,
                                "idleTimeoutMs", 15000)));
    }
}
