import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Starved: all terminals read the report of the day, and three of the 22 targets that serve it crash once, at the same time. */
final class StarvedCase {
    private static final int REPORT_TARGETS = 22;
    private static final int CHARGE_TARGETS = 6;
    private static final int CRASHED_TARGETS = 3;
    private static final double CRASH_AT_SECONDS = 5;
    private static final double DOWN_SECONDS = 4.5;
    private static final double LENGTH_SECONDS = 80;
    private static final int REPORT_GAP_MS = 12;
    private static final int CHARGE_GAP_MS = 20;
    private static final int DEADLINE_MS = 6_000;
    private static final int MAX_RETRIES = 2;
    private static final double LEAST_SHARE = 0.25;
    private static final String CONFIG =
            """
            {"version":"00000002",
             "routes":{"columns":["name","host","prefix","kind","timeoutMs","aimMs","priority","attempts","service"],
              "rows":[["shift-report","tally.example","/report/","idempotent",5000,1500,2,2,"tillhand"],
                      ["pass-settle","tally.example","/settle/","non_idempotent",2500,800,1,2,"passbook"]]},
             "services":{"columns":["name","healthPath","maxConns","protocol","tls"],
              "rows":[["tillhand","/healthz",220,"h1",false],["passbook","/healthz",220,"h1",false]]},
             "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}
            """;

    /** How many requests of one kind were sent and served. */
    private static final class Count {
        private final AtomicInteger sent = new AtomicInteger();
        private final AtomicInteger served = new AtomicInteger();

        private double share() {
            return (double) served.get() / Math.max(1, sent.get());
        }
    }

    public static void main(String[] args) {
        Lab.main(args[0], StarvedCase::run);
    }

    private static int run(Lab lab) throws Exception {
        Lab.Store store = lab.new Store();
        store.listen();
        store.putText("op/config", CONFIG.replaceAll("\\s*\\n\\s*", ""));
        List<Lab.Target> targets = new ArrayList<>();
        for (int i = 0; i < REPORT_TARGETS; i++) {
            targets.add(lab.new Target(store, "till-" + i, "tillhand", Lab.ZONES[i % 3], "127.0.0." + (40 + i), 4, 550));
        }
        for (int i = 0; i < CHARGE_TARGETS; i++) {
            lab.new Target(store, "pass-" + i, "passbook", Lab.ZONES[i % 3], "127.0.0." + (80 + i), 4, 100);
        }
        List<Lab.Daemon> daemons = lab.startDaemons(3, store, Lab.BASE_BOUNDS, Lab.BASE_CONTRACTS);
        if (daemons.isEmpty()) {
            return Lab.NOT_RUN;
        }
        double start = Lab.seconds();
        if (lab.trouble) {
            Lab.spawn(() -> {
                Lab.sleep(CRASH_AT_SECONDS);
                for (int i = 0; i < CRASHED_TARGETS; i++) {
                    targets.get(i).crash();
                }
                Lab.sleep(DOWN_SECONDS);
                for (int i = 0; i < CRASHED_TARGETS; i++) {
                    targets.get(i).restart();
                }
                return null;
            });
        }
        Count reports = new Count();
        Count charges = new Count();
        try (ExecutorService clients = Executors.newVirtualThreadPerTaskExecutor()) {
            Thread charging = Lab.spawn(() -> {
                while (Lab.seconds() < start + LENGTH_SECONDS) {
                    int number = charges.sent.incrementAndGet();
                    clients.submit(() -> request(lab, daemons, "POST", "/settle/" + number, "s" + number, 0, charges));
                    Thread.sleep(CHARGE_GAP_MS);
                }
                return null;
            });
            while (Lab.seconds() < start + LENGTH_SECONDS) {
                int number = reports.sent.incrementAndGet();
                clients.submit(() -> request(lab, daemons, "GET", "/report/today", "r" + number, MAX_RETRIES, reports));
                Thread.sleep(REPORT_GAP_MS);
            }
            charging.join();
            clients.shutdown();
            clients.awaitTermination(20, TimeUnit.SECONDS);
        }
        Count all = new Count();
        all.sent.set(reports.sent.get() + charges.sent.get());
        all.served.set(reports.served.get() + charges.served.get());
        lab.say("shift-report: sent %d, served %d (%.3f)", reports.sent.get(), reports.served.get(), reports.share());
        lab.say("pass-settle: sent %d, served %d (%.3f)", charges.sent.get(), charges.served.get(), charges.share());
        lab.say("shift-report is served %.3f times as often as all requests; at least %.2f is needed", reports.share() / all.share(), LEAST_SHARE);
        return reports.share() < LEAST_SHARE * all.share() ? Lab.BROKEN : Lab.HELD;
    }

    /** Sends a request, and sends it again after a failure as a client of the pages does, at another daemon and on a new connection. */
    private static void request(Lab lab, List<Lab.Daemon> daemons, String method, String path, String id, int retries, Count count) {
        double deadline = Lab.seconds() + DEADLINE_MS / 1000.0;
        for (int attempt = 0; attempt <= retries && Lab.seconds() < deadline; attempt++) {
            Lab.Daemon daemon = daemons.get(Math.floorMod(id.hashCode() + attempt, daemons.size()));
            int left = (int) ((deadline - Lab.seconds()) * 1000);
            String attemptId = id + "-" + attempt;
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("Host", "tally.example");
            headers.put("Attempt-Id", attemptId);
            headers.put("Deadline-Ms", Integer.toString(left));
            lab.note("client sends %s %s %s to %s", attemptId, method, path, daemon.name);
            try {
                Lab.Reply reply = Lab.Http.call(daemon.host, daemon.front, method, path, headers, new byte[0], left + 500);
                boolean sealed = !reply.header("Response-Seal").isEmpty();
                lab.note("client gets %s %d %s", attemptId, reply.status, sealed ? "sealed" : reply.text().trim());
                if (reply.status == 200 && sealed) {
                    count.served.incrementAndGet();
                    return;
                }
            } catch (Exception e) {
                lab.note("client gets %s %s", attemptId, e);
            }
            Lab.sleep(0.3);
        }
    }
}
