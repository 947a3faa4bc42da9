package review;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Targets reject a part of their requests, and one of them sends a second copy of a few rejections late, at the point where the
 * next response is expected. Each rejection and each copy bears the id of its request. Checks TWICE and REFUSED for requests that
 * are not idempotent.
 */
final class LateSecondRejection {
    private static final int SECONDS = 60;
    private static final int DAEMONS = 2;
    private static final int CALLERS = 12;
    private static final int TARGETS = 1;
    private static final int WORK_MILLIS = 5;

    /** Requests of 100 that each target rejects while its status check is good. */
    private static final int REJECTED_PERCENT = 15;

    /** Rejections of 100 of which the faulty target sends a second copy. */
    private static final int COPIED_PERCENT = 3;

    private static final Map<String, AtomicInteger> RUNS = new ConcurrentHashMap<>();
    private static final Map<String, Integer> ANSWERS = new ConcurrentHashMap<>();
    private static final AtomicInteger COPIES = new AtomicInteger();

    private LateSecondRejection() {}

    /** A target that rejects a part of its requests. If it is faulty, it sends a second copy of some rejections late. */
    private static final class RejectingTarget extends Target {
        private final boolean trouble;
        private final boolean faulty;

        RejectingTarget(Store store, Journal journal, String id, boolean trouble, boolean faulty) throws IOException {
            super(store, journal, id, "passbook", 4, 8, WORK_MILLIS);
            this.trouble = trouble;
            this.faulty = faulty;
        }

        @Override
        boolean rejects() {
            return trouble && ThreadLocalRandom.current().nextInt(100) < REJECTED_PERCENT;
        }

        @Override
        void beforeAnswer(Connection connection, Http.Message request, OutputStream out) throws IOException {
            if (connection.lateCopy != null) {
                COPIES.incrementAndGet();
                journal.add(
                        "target %s sends the second copy of an answer before its answer to '%s'",
                        id, request.header("attempt-id"));
                Http.write(out, connection.lateCopy);
                connection.lateCopy = null;
            }
        }

        @Override
        void afterAnswer(Connection connection, byte[] answer) {
            boolean rejection = new String(answer, 0, "HTTP/1.1 503".length(), StandardCharsets.ISO_8859_1)
                    .equals("HTTP/1.1 503");
            if (trouble && faulty && rejection && ThreadLocalRandom.current().nextInt(100) < COPIED_PERCENT) {
                connection.lateCopy = answer;
            }
        }

        @Override
        void ran(Http.Message request) {
            super.ran(request);
            RUNS.computeIfAbsent(request.header("attempt-id"), key -> new AtomicInteger())
                    .incrementAndGet();
        }
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
            store.put("op/config", Config.text(
                    7, List.of(Config.route("settle", "/settle/", "non_idempotent", 2500, "passbook")), List.of("passbook")));
            for (int i = 0; i < TARGETS; i++) {
                new RejectingTarget(store, journal, "i-00" + i, trouble, i == 0).register();
            }
            for (int i = 0; i < DAEMONS; i++) {
                daemons.add(new Daemon("front-" + i, store, folder));
            }
            for (Daemon daemon : daemons) {
                daemon.start();
            }
            for (Daemon daemon : daemons) {
                if (!daemon.awaitReady(20_000)) {
                    journal.say("daemon %s is not ready", daemon.name);
                    return Exit.COULD_NOT_RUN;
                }
            }
            long end = System.nanoTime() + SECONDS * 1_000_000_000L;
            List<Thread> callers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                Daemon daemon = daemons.get(i % DAEMONS);
                int number = i;
                callers.add(Thread.ofVirtual().start(() -> call(journal, daemon, number, end)));
            }
            for (Thread caller : callers) {
                caller.join();
            }
            Thread.sleep(1_000);
            return check(journal);
        }
    }

    private static void call(Journal journal, Daemon daemon, int number, long end) {
        Caller connection = null;
        for (int i = 0; System.nanoTime() < end; i++) {
            String attempt = "%04x%08x".formatted(number, i);
            try {
                connection = connection == null ? new Caller(daemon.frontPort) : connection;
                journal.add("client sends %s POST to %s", attempt, daemon.name);
                Http.Message answer = connection.send(
                        "POST /settle/x" + attempt + " HTTP/1.1",
                        Map.of("Host", Config.HOST, "Attempt-Id", attempt, "Deadline-Ms", "5000"),
                        ("settle " + attempt).getBytes(StandardCharsets.UTF_8),
                        6_000);
                ANSWERS.put(attempt, answer.status());
                journal.add("client gets %s %d %s", attempt, answer.status(), answer.text().trim());
                if (answer.header("connection").equals("close")) {
                    connection.close();
                    connection = null;
                }
                Thread.sleep(5);
            } catch (IOException e) {
                journal.add("client gets no answer to %s: %s", attempt, e);
                connection = null;
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static int check(Journal journal) {
        int twice = 0;
        int refused = 0;
        for (Map.Entry<String, AtomicInteger> run : RUNS.entrySet()) {
            Integer status = ANSWERS.get(run.getKey());
            if (run.getValue().get() > 1) {
                twice++;
                journal.say("TWICE: %s ran %d times and was answered %s", run.getKey(), run.getValue().get(), status);
            } else if (status != null && Set.of(429, 503, 408, 421).contains(status)) {
                refused++;
                journal.say("REFUSED: %s ran and was answered %d", run.getKey(), status);
            }
        }
        journal.say(
                "requests %d, run %d, second copies %d; ran twice %d, refused although run %d",
                ANSWERS.size(), RUNS.size(), COPIES.get(), twice, refused);
        return twice + refused > 0 ? 1 : 0;
    }
}
