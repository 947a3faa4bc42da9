package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A daemon gets SIGTERM while requests wait in it for a free slot of a busy service. Checks LOST: every request that was read whole
 * is answered, unless its time has run out or a target was at work on it.
 */
final class StopUnderLoad {
    private static final int TIMEOUT_MILLIS = 5_000;
    private static final int DEADLINE_MILLIS = 10_000;
    private static final int LOST_SLACK_MILLIS = 200;

    /** Time after SIGTERM until which clients send to the daemon: the validity of the addresses that it gave them. */
    private static final int ADDRESS_VALIDITY_MILLIS = 2_000;

    private static final int REQUESTS_PER_S = 25;
    private static final int TARGETS = 2;
    private static final int WORK_MILLIS = 550;

    private static final Map<String, Outcome> OUTCOMES = new ConcurrentHashMap<>();
    private static final Set<String> RUN = ConcurrentHashMap.newKeySet();

    private StopUnderLoad() {}

    private record Outcome(long sentAt, long endedAt, int status) {}

    private static final class RecordingTarget extends Target {
        RecordingTarget(Store store, Journal journal, String id) throws IOException {
            super(store, journal, id, "tillhand", 4, 8, WORK_MILLIS);
        }

        @Override
        void ran(Http.Message request) {
            super.ran(request);
            RUN.add(request.header("attempt-id"));
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
        try (Journal journal = new Journal(Path.of(args[0], "record.txt"));
                Store store = new Store()) {
            store.put("op/config", Config.text(
                    7, List.of(Config.route("report", "/report/", "idempotent", TIMEOUT_MILLIS, "tillhand")), List.of("tillhand")));
            for (int i = 0; i < TARGETS; i++) {
                new RecordingTarget(store, journal, "i-00" + i).register();
            }
            List<Daemon> daemons = List.of(new Daemon("front-0", store, folder), new Daemon("front-1", store, folder));
            for (Daemon daemon : daemons) {
                daemon.start();
            }
            for (Daemon daemon : daemons) {
                if (!daemon.awaitReady(20_000)) {
                    journal.say("%s is not ready", daemon.name);
                    return Exit.COULD_NOT_RUN;
                }
            }
            List<Thread> clients = new ArrayList<>();
            long start = now();
            long stopAt = start + 10_000;
            boolean stopped = false;
            for (int i = 0; now() < stopAt + ADDRESS_VALIDITY_MILLIS; i++) {
                if (!stopped && now() >= stopAt) {
                    stopped = true;
                    if (trouble) {
                        daemons.getFirst().terminate();
                        journal.say("front-0 gets SIGTERM");
                    }
                }
                String attempt = "%08x".formatted(i);
                clients.add(Thread.ofVirtual().start(() -> call(journal, daemons.getFirst(), attempt)));
                Thread.sleep(Math.max(0, start + i * 1_000L / REQUESTS_PER_S - now()));
            }
            for (Thread client : clients) {
                client.join();
            }
            return check(journal, stopAt);
        }
    }

    /** Sends one request on a new connection. */
    private static void call(Journal journal, Daemon daemon, String attempt) {
        long sentAt = now();
        try (Caller connection = new Caller(daemon.frontPort)) {
            sentAt = now();
            journal.add("client sends %s", attempt);
            Http.Message answer = connection.send(
                    "GET /report/x" + attempt + " HTTP/1.1",
                    Map.of(
                            "Host", Config.HOST, "Attempt-Id", attempt, "Deadline-Ms", Integer.toString(DEADLINE_MILLIS)),
                    new byte[0],
                    DEADLINE_MILLIS);
            journal.add("client gets %s %d %s", attempt, answer.status(), answer.text().trim());
            OUTCOMES.put(attempt, new Outcome(sentAt, now(), answer.status()));
        } catch (java.net.ConnectException e) {
            journal.add("client cannot connect for %s: %s", attempt, e);
        } catch (IOException e) {
            journal.add("client gets no answer to %s: %s", attempt, e);
            OUTCOMES.put(attempt, new Outcome(sentAt, now(), 0));
        }
    }

    private static int check(Journal journal, long stopAt) {
        int lost = 0;
        int atWork = 0;
        int answered = 0;
        for (Map.Entry<String, Outcome> entry : OUTCOMES.entrySet()) {
            Outcome outcome = entry.getValue();
            if (outcome.status() != 0) {
                answered++;
                continue;
            }
            long lasted = outcome.endedAt() - outcome.sentAt();
            if (RUN.contains(entry.getKey())) {
                atWork++;
            } else if (lasted > LOST_SLACK_MILLIS && lasted < TIMEOUT_MILLIS) {
                lost++;
                journal.add("LOST: %s was sent %d ms after SIGTERM and cut %d ms after it; its time ran for %d ms more",
                        entry.getKey(), outcome.sentAt() - stopAt, outcome.endedAt() - stopAt, TIMEOUT_MILLIS - lasted);
            }
        }
        journal.say("answered %d; cut while a target was at work %d; LOST: cut while they waited %d", answered, atWork, lost);
        return lost > 0 ? 1 : 0;
    }
}
