package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A configuration that has grown by many routes changes in quick succession. The last version moves a route to another service,
 * and then a target of the old service drains. Checks CONFIG and DRAIN.
 *
 * <p>Arguments: the folder of the record, the number of series of versions, the versions of a series, the milliseconds between two
 * versions, and the seconds of the check after the last one.
 */
final class ConfigurationChanges {
    private static final long CONFIG_APPLY_MILLIS = 2_000;
    private static final long DRAIN_MILLIS = 2_000;
    private static final long PAUSE_BETWEEN_SERIES_MILLIS = 500;

    /** Routes by which the configuration has grown: four times the largest growth that a site file names. */
    private static final int MORE_ROUTES = 4 * 1_400;

    private static final String OLD_SERVICE = "wuno96b";
    private static final String NEW_SERVICE = "kafi81c";
    private static final int FIRST_VERSION = 7;

    private static final Map<String, Long> SENT = new ConcurrentHashMap<>();
    private static final Map<String, Run> RUNS = new ConcurrentHashMap<>();

    private static volatile boolean done;

    private ConfigurationChanges() {}

    private record Run(String target, String service, long at) {}

    private static final class RecordingTarget extends Target {
        RecordingTarget(Store store, Journal journal, String id, String service) throws IOException {
            super(store, journal, id, service, 4, 4, 20);
        }

        @Override
        void ran(Http.Message request) {
            super.ran(request);
            RUNS.put(request.header("attempt-id"), new Run(id, service, now()));
        }
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    public static void main(String[] args) {
        Exit.with(() -> run(args));
    }

    private static int run(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int series = trouble ? Integer.parseInt(args[1]) : 1;
        int versions = trouble ? Integer.parseInt(args[2]) : 1;
        int gapMillis = Integer.parseInt(args[3]);
        int checkSeconds = Integer.parseInt(args[4]);
        Path folder = Files.createTempDirectory("review");
        List<Daemon> daemons = new ArrayList<>();
        try (Journal journal = new Journal(Path.of(args[0], "record.txt"));
                Store store = new Store()) {
            store.put("op/config", configuration(FIRST_VERSION, OLD_SERVICE));
            List<Target> targets = new ArrayList<>();
            for (String service : List.of(OLD_SERVICE, NEW_SERVICE)) {
                for (int i = 0; i < 2; i++) {
                    targets.add(new RecordingTarget(store, journal, "i-" + service + i, service));
                }
            }
            targets.forEach(Target::register);
            for (int i = 0; i < 2; i++) {
                daemons.add(new Daemon("front-" + i, store, folder));
            }
            for (Daemon daemon : daemons) {
                daemon.start();
            }
            for (Daemon daemon : daemons) {
                if (!daemon.awaitReady(20_000)) {
                    journal.say("%s is not ready", daemon.name);
                    return Exit.COULD_NOT_RUN;
                }
                Thread.ofVirtual().start(() -> call(journal, daemon));
            }
            Thread.sleep(4_000);
            int last = FIRST_VERSION + series * versions;
            for (int version = FIRST_VERSION + 1; version <= last; version++) {
                String text = configuration(version, version == last ? NEW_SERVICE : OLD_SERVICE);
                store.put("op/config", text);
                journal.add("version %d of %d bytes is acknowledged", version, text.length());
                boolean seriesEnds = (version - FIRST_VERSION) % versions == 0;
                Thread.sleep(version == last ? 0 : seriesEnds ? PAUSE_BETWEEN_SERIES_MILLIS : gapMillis);
            }
            long movedAt = now();
            journal.say("version %d, which moves the route to %s, is acknowledged", last, NEW_SERVICE);
            Thread.sleep(3_000);
            targets.getFirst().drain();
            long drainedAt = now();
            journal.say("the draining of %s is acknowledged", targets.getFirst().id);
            Thread.sleep(checkSeconds * 1_000L);
            done = true;
            return check(journal, movedAt, drainedAt);
        }
    }

    private static String configuration(int version, String service) {
        List<String> routes = new ArrayList<>();
        routes.add(Config.route("settle", "/settle/", "non_idempotent", 2_500, service));
        for (int i = 0; i < MORE_ROUTES; i++) {
            routes.add(Config.route(
                    "r-%07x".formatted(i * 7_919), "/lepu%d/".formatted(i), "idempotent", 2_500, OLD_SERVICE));
        }
        return Config.text(version, routes, List.of(OLD_SERVICE, NEW_SERVICE));
    }

    /** Sends ten requests a second, each on a new connection. */
    private static void call(Journal journal, Daemon daemon) {
        for (int i = 0; !done; i++) {
            String attempt = "%s%06x".formatted(daemon.name.substring(6), i);
            SENT.put(attempt, now());
            try (Caller connection = new Caller(daemon.frontPort)) {
                Http.Message answer = connection.send(
                        "POST /settle/x" + attempt + " HTTP/1.1",
                        Map.of("Host", Config.HOST, "Attempt-Id", attempt, "Deadline-Ms", "5000"),
                        new byte[10],
                        6_000);
                journal.add("client gets %s %d %s", attempt, answer.status(), answer.text().trim());
            } catch (IOException e) {
                journal.add("client gets no answer to %s: %s", attempt, e);
            }
            try {
                Thread.sleep(100);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static int check(Journal journal, long movedAt, long drainedAt) {
        int due = 0;
        int old = 0;
        int drained = 0;
        long lastOld = 0;
        for (Map.Entry<String, Run> run : RUNS.entrySet()) {
            long late = SENT.get(run.getKey()) - movedAt - CONFIG_APPLY_MILLIS;
            if (late > 0) {
                due++;
                if (run.getValue().service().equals(OLD_SERVICE)) {
                    old++;
                    lastOld = Math.max(lastOld, late + CONFIG_APPLY_MILLIS);
                }
            }
            boolean atDrained = run.getValue().target().equals("i-" + OLD_SERVICE + 0);
            drained += atDrained && run.getValue().at() > drainedAt + DRAIN_MILLIS ? 1 : 0;
        }
        journal.say(
                "CONFIG: %d of %d requests run by the old service, the last sent %d ms after the ack; "
                        + "DRAIN: %d requests at the drained target",
                old, due, lastOld, drained);
        return old > 0 || drained > 0 ? 1 : 0;
    }
}
