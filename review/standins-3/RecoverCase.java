import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** RECOVER: all processes are killed, and start again at once, while the store is down and leases run out. */
final class RecoverCase {
    private static final int RATE = 200;
    private static final int BURST = 20;
    private static final int REQUEST_GAP_MS = 10;
    private static final double LOAD_FROM_SECONDS = 10;
    private static final double FAULT_AT_SECONDS = 25;
    private static final double OUTAGE_SECONDS = 4.5;
    private static final double SILENT_BEFORE_SECONDS = 0.05;
    private static final double DOWN_SECONDS = 0.1;
    private static final double RECOVERY_SECONDS = 15;
    private static final double JUDGED_SECONDS = 8;
    private static final double LEAST_SHARE = 0.25;
    private static final String CONFIG =
            """
            {"version":"00000002",
             "routes":{"columns":["name","host","prefix","kind","timeoutMs","aimMs","priority","attempts","service"],
              "rows":[["subscriber-history","cdr.example","/hist/","idempotent",2000,1000,2,1,"histsvc"]]},
             "services":{"columns":["name","healthPath","maxConns","protocol","tls"],"rows":[["histsvc","/healthz",1220,"h1",false]]},
             "tenants":{"columns":["name","apiKeys","priority","ratePerS","burst"],"rows":[["police",["key-police"],1,%d,%d]]},
             "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}
            """
                    .formatted(RATE, BURST);

    private record Outcome(double sentAt, boolean served) {}

    public static void main(String[] args) {
        Lab.main(args[0], RecoverCase::run);
    }

    private static int run(Lab lab) throws Exception {
        Lab.Store store = lab.new Store();
        store.listen();
        store.putText("op/config", CONFIG.replaceAll("\\s*\\n\\s*", ""));
        for (int i = 0; i < 6; i++) {
            lab.new Target(store, "i-" + i, "histsvc", Lab.ZONES[i % 3], "127.0.0." + (40 + i), 12, 30);
        }
        List<Lab.Daemon> daemons = lab.startDaemons(3, store, Lab.TENANT_BOUNDS, Lab.TENANT_CONTRACTS);
        if (daemons.isEmpty()) {
            return Lab.NOT_RUN;
        }
        double backAt = FAULT_AT_SECONDS + DOWN_SECONDS;
        double end = backAt + RECOVERY_SECONDS + JUDGED_SECONDS;
        if (lab.trouble) {
            Lab.spawn(() -> fail(lab, store, daemons));
        }
        ConcurrentLinkedQueue<Outcome> outcomes = new ConcurrentLinkedQueue<>();
        Lab.sleep(LOAD_FROM_SECONDS - Lab.seconds());
        try (ExecutorService clients = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int number = 0; Lab.seconds() < end; number++) {
                int current = number;
                clients.submit(() -> request(lab, daemons.get(current % 3), "h" + current, outcomes));
                Thread.sleep(REQUEST_GAP_MS);
            }
            clients.shutdown();
            clients.awaitTermination(6, TimeUnit.SECONDS);
        }
        double before = share(outcomes, LOAD_FROM_SECONDS, FAULT_AT_SECONDS);
        double after = share(outcomes, backAt + RECOVERY_SECONDS, end);
        StringBuilder seconds = new StringBuilder();
        for (double from = LOAD_FROM_SECONDS; from < end; from++) {
            seconds.append(String.format(" %.2f", share(outcomes, from, from + 1)));
        }
        lab.say("served in each second from %.0f s:%s", LOAD_FROM_SECONDS, seconds);
        lab.say("served before the fault: %.3f; of those sent later than %.0f s after the machines were back: %.3f",
                before, RECOVERY_SECONDS, after);
        return before >= LEAST_SHARE && after < LEAST_SHARE ? Lab.BROKEN : Lab.HELD;
    }

    private static Void fail(Lab lab, Lab.Store store, List<Lab.Daemon> daemons) throws Exception {
        Lab.sleep(FAULT_AT_SECONDS - SILENT_BEFORE_SECONDS - Lab.seconds());
        store.fallSilent();
        Lab.sleep(FAULT_AT_SECONDS - Lab.seconds());
        for (Lab.Daemon daemon : daemons) {
            daemon.signal("KILL");
        }
        Lab.sleep(FAULT_AT_SECONDS + DOWN_SECONDS - Lab.seconds());
        for (Lab.Daemon daemon : daemons) {
            daemon.startAgain();
        }
        Lab.sleep(FAULT_AT_SECONDS - SILENT_BEFORE_SECONDS + OUTAGE_SECONDS - Lab.seconds());
        store.returnWithoutLeases();
        return null;
    }

    private static double share(Iterable<Outcome> outcomes, double from, double to) {
        int sent = 0;
        int served = 0;
        for (Outcome outcome : outcomes) {
            if (outcome.sentAt() >= from && outcome.sentAt() < to) {
                sent++;
                served += outcome.served() ? 1 : 0;
            }
        }
        return (double) served / Math.max(1, sent);
    }

    private static void request(Lab lab, Lab.Daemon daemon, String id, ConcurrentLinkedQueue<Outcome> outcomes) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "cdr.example");
        headers.put("Attempt-Id", id);
        headers.put("Deadline-Ms", "3000");
        headers.put("Credential", "key-police");
        double sentAt = Lab.seconds();
        lab.note("client sends %s to %s", id, daemon.name);
        boolean served = false;
        try {
            Lab.Reply reply = Lab.Http.call(daemon.host, daemon.front, "GET", "/hist/" + id, headers, new byte[0], 3500);
            served = reply.status == 200 && !reply.header("Response-Seal").isEmpty();
            lab.note("client gets %s %d %s", id, reply.status, served ? "sealed" : reply.text().trim());
        } catch (Exception e) {
            lab.note("client gets %s %s", id, e);
        }
        outcomes.add(new Outcome(sentAt, served));
    }
}
