package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Another writer leaves an entry among those of the targets that cannot be used. Then the configuration moves the route to another
 * service, a target drains, and the daemons are killed and started again. Checks CONFIG, DRAIN and RECOVER.
 */
final class ForeignEntry {
    /** Bytes of another writer among the entries of the targets. */
    private static final String UNREADABLE_ENTRY = "[".repeat(2_000);

    private static final long CONFIG_APPLY_MILLIS = 2_000;
    private static final long DRAIN_MILLIS = 2_000;
    private static final long RECOVERY_MILLIS = 15_000;

    private static final Map<String, Long> SENT = new ConcurrentHashMap<>();
    private static final Map<String, Integer> ANSWERS = new ConcurrentHashMap<>();
    private static final Map<String, Run> RUNS = new ConcurrentHashMap<>();

    private static volatile long movedAt = Long.MAX_VALUE;
    private static volatile long drainedAt = Long.MAX_VALUE;
    private static volatile long backAt = Long.MAX_VALUE;
    private static volatile boolean done;

    private ForeignEntry() {}

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
        Path folder = Files.createTempDirectory("review");
        List<Daemon> daemons = new ArrayList<>();
        try (Journal journal = new Journal(Path.of(args[0], "record.txt"));
                Store store = new Store()) {
            List<String> services = List.of("wuno96b", "kafi81c");
            store.put("op/config", Config.text(
                    7, List.of(Config.route("settle", "/settle/", "non_idempotent", 2500, "wuno96b")), services));
            List<Target> targets = new ArrayList<>();
            for (String service : services) {
                for (int i = 0; i < 2; i++) {
                    Target target = new RecordingTarget(store, journal, "i-" + service + i, service);
                    target.register();
                    targets.add(target);
                }
            }
            for (int i = 0; i < 2; i++) {
                daemons.add(new Daemon("front-" + i, store, folder));
            }
            if (!startAll(journal, daemons)) {
                return Exit.COULD_NOT_RUN;
            }
            for (Daemon daemon : daemons) {
                Thread.ofVirtual().start(() -> call(journal, daemon));
            }
            Thread.sleep(3_000);
            if (trouble) {
                store.put("servers/i-0000", UNREADABLE_ENTRY);
                journal.say("another writer has put %d bytes that cannot be read at servers/i-0000", UNREADABLE_ENTRY.length());
            }
            Thread.sleep(3_000);
            store.put("op/config", Config.text(
                    8, List.of(Config.route("settle", "/settle/", "non_idempotent", 2500, "kafi81c")), services));
            movedAt = now();
            journal.say("version 8, which moves the route to kafi81c, is acknowledged");
            Thread.sleep(1_000);
            targets.get(0).drain();
            drainedAt = now();
            journal.say("the draining of %s is acknowledged", targets.get(0).id);
            Thread.sleep(6_000);
            check(journal);
            for (Daemon daemon : daemons) {
                daemon.kill();
            }
            journal.say("all daemons are killed");
            Thread.sleep(1_000);
            for (Daemon daemon : daemons) {
                daemon.start();
            }
            backAt = now();
            journal.say("all daemons are started again");
            Thread.sleep(RECOVERY_MILLIS + 6_000);
            done = true;
            for (Daemon daemon : daemons) {
                journal.say("%s answers its readiness page with %d", daemon.name, daemon.readiness());
            }
            return check(journal);
        }
    }

    private static boolean startAll(Journal journal, List<Daemon> daemons) throws Exception {
        for (Daemon daemon : daemons) {
            daemon.start();
        }
        for (Daemon daemon : daemons) {
            if (!daemon.awaitReady(20_000)) {
                journal.say("%s is not ready", daemon.name);
                return false;
            }
        }
        return true;
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
                ANSWERS.put(attempt, answer.status());
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

    private static int check(Journal journal) {
        int old = 0;
        int drained = 0;
        for (Map.Entry<String, Run> run : RUNS.entrySet()) {
            long sent = SENT.get(run.getKey());
            boolean late = sent > movedAt + CONFIG_APPLY_MILLIS;
            old += late && run.getValue().service().equals("wuno96b") ? 1 : 0;
            drained += run.getValue().target().equals("i-wuno96b0") && run.getValue().at() > drainedAt + DRAIN_MILLIS ? 1 : 0;
        }
        int recovering = 0;
        int served = 0;
        for (Map.Entry<String, Long> sent : SENT.entrySet()) {
            if (backAt != Long.MAX_VALUE && sent.getValue() > backAt + RECOVERY_MILLIS) {
                recovering++;
                served += ANSWERS.getOrDefault(sent.getKey(), 0) == 200 ? 1 : 0;
            }
        }
        journal.say(
                "CONFIG: %d requests run by the old service; DRAIN: %d requests at the drained target; RECOVER: %d of %d served",
                old, drained, served, recovering);
        return old > 0 || drained > 0 || served * 4 < recovering ? 1 : 0;
    }
}
