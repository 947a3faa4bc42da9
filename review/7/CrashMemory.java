import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A request that crashes the targets that run it comes again at one machine after the other, while the machines are stopped and started
 * in turn. Each restarted machine has forgotten the crashes and sends the request to targets again.
 */
public final class CrashMemory {
    private static final String BAD_PATH = "/lepu270/bad";
    private static final long STABLE_WINDOW_MILLIS = 3_000;
    private static final int MAX_RETRIES = 3;
    private static final int ROUNDS = 2;
    private static final long GRACE_MILLIS = 6_000;

    /** An arrival of the crashing request at a target. */
    private record Arrival(long atMillis, String attempt, String target) {}

    private CrashMemory() {}

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
        store.put("op/config", configuration());
        List<Arrival> arrivals = new CopyOnWriteArrayList<>();
        List<Long> crashes = new CopyOnWriteArrayList<>();
        Set<String> running = ConcurrentHashMap.newKeySet();
        Set<String> lost = ConcurrentHashMap.newKeySet();
        Target.Listener listener = new Target.Listener() {
            @Override
            public void onRun(Target target, Http.Message request) {
                String attempt = request.headers().get("attempt-id");
                if (request.path().equals(BAD_PATH)) {
                    arrivals.add(new Arrival(record.millis(), attempt, target.id()));
                    record.line("arrived attempt=%s target=%s path=%s", attempt, target.id(), request.path());
                } else if (request.first().startsWith("POST")) {
                    running.add(attempt);
                }
            }

            @Override
            public void onCrash(Target target, Http.Message request) {
                crashes.add(record.millis());
                record.line("crash %d of target=%s", crashes.size(), target.id());
            }
        };
        List<Target> targets = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            String zone = "bg-east-" + "abc".charAt(i % 3);
            Target target = new Target(store, record, "rowboard", "s" + i, zone, 4, 200, listener);
            target.crashOn(BAD_PATH);
            targets.add(target);
        }
        for (String zone : List.of("a", "b", "c")) {
            daemons.add(new Daemon(
                    repository,
                    temporary,
                    "front-bg-east-" + zone + "-1",
                    "bg-east-" + zone,
                    store.address(),
                    Daemon.plazhnaBounds()));
        }
        long[] readyAt = new long[daemons.size()];
        for (Daemon daemon : daemons) {
            daemon.start(true);
        }
        for (int i = 0; i < readyAt.length; i++) {
            daemons.get(i).awaitReady(20_000);
            readyAt[i] = record.millis();
        }
        Thread charges = Thread.ofVirtual().start(() -> charge(daemons, record, running, lost));
        Map<String, Integer> sentBy = new ConcurrentHashMap<>();
        Thread.sleep(4_000);
        for (int i = 0; i < daemons.size(); i++) {
            sendBad(daemons, i, sentBy, record);
            Thread.sleep(4_000);
        }
        for (int round = 0; round < ROUNDS; round++) {
            for (int i = 0; i < daemons.size(); i++) {
                if (trouble) {
                    record.line("SIGTERM to %s", daemons.get(i).name());
                    daemons.get(i).terminate(GRACE_MILLIS);
                    daemons.get(i).start(false);
                    daemons.get(i).awaitReady(20_000);
                    readyAt[i] = record.millis();
                    record.line("%s is ready again", daemons.get(i).name());
                } else {
                    Thread.sleep(3_500);
                }
                Thread.sleep(STABLE_WINDOW_MILLIS + 1_000);
                sendBad(daemons, i, sentBy, record);
            }
        }
        charges.interrupt();
        charges.join();
        for (Target target : targets) {
            target.end();
        }
        store.close();
        return judge(record, arrivals, crashes, sentBy, lost);
    }

    /** Counts the client's attempts that reached a target later than the window after the third crash. All senders were in touch. */
    private static int judge(
            Record record, List<Arrival> arrivals, List<Long> crashes, Map<String, Integer> sentBy, Set<String> lost) {
        Set<String> late = new TreeSet<>();
        int lateArrivals = 0;
        for (Arrival arrival : arrivals) {
            if (crashes.size() >= 3 && arrival.atMillis() > crashes.get(2) + STABLE_WINDOW_MILLIS) {
                late.add(arrival.attempt());
                lateArrivals++;
            }
        }
        record.line(
                "attempts sent: %d; crashes: %d; attempts that arrived over %d ms after the third crash: %d (%d arrivals); "
                        + "allowed: %d; charges that ran on a crashed target and were not answered with success: %d",
                sentBy.size(),
                crashes.size(),
                STABLE_WINDOW_MILLIS,
                late.size(),
                lateArrivals,
                MAX_RETRIES,
                lost.size());
        boolean broken = late.size() > MAX_RETRIES;
        record.line("BUDGET %s", broken ? "broken" : "held");
        return broken ? 1 : 0;
    }

    private static void sendBad(List<Daemon> daemons, int index, Map<String, Integer> sentBy, Record record) {
        String id = Caller.nextId();
        sentBy.put(id, index);
        record.line("sent attempt=%s to %s", id, daemons.get(index).name());
        Caller.Result result = Caller.send(daemons.get(index), id, "GET", BAD_PATH, Map.of(), 2_000);
        record.line("answered attempt=%s status=%d", id, result.status());
    }

    /** Sends charges, which may run once at most, at a steady rate to the machines that are ready. */
    private static void charge(List<Daemon> daemons, Record record, Set<String> running, Set<String> lost) {
        try {
            for (int i = 0; ; i++) {
                Daemon daemon = daemons.get(i % daemons.size());
                Thread.ofVirtual().start(() -> {
                    String id = Caller.nextId();
                    Caller.Result result = Caller.send(daemon, id, "POST", "/xapu221/" + id, Map.of(), 3_000);
                    if (result.status() != 200 && running.contains(id)) {
                        lost.add(id);
                        record.line("charge attempt=%s ran and was answered with %d", id, result.status());
                    }
                });
                Thread.sleep(50);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String configuration() {
        List<String> routes = List.of(
                "name", "host", "prefix", "kind", "timeoutMs", "aimMs", "priority", "attempts", "service");
        return Json.write(Json.map(
                "version", "00000007",
                "routes",
                        Json.map("columns", routes, "rows", List.of(
                                List.of("r1", Caller.HOST, "/lepu270/", "idempotent", 2000, 600, 2, 2, "rowboard"),
                                List.of("r2", Caller.HOST, "/xapu221/", "non_idempotent", 2500, 800, 1, 2, "rowboard"))),
                "services",
                        Json.map("columns", List.of("name", "healthPath", "maxConns"), "rows", List.of(
                                List.of("rowboard", "/healthz", 220))),
                "limits",
                        Json.map("maxHeaderBytes", 16384, "maxBodyBytes", 1048576, "headerTimeoutMs", 3000,
                                "idleTimeoutMs", 15000)));
    }
}
