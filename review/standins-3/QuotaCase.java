import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** QUOTA: three machines join three others, and their processes are killed once, two seconds after they were ready. */
final class QuotaCase {
    private static final int RATE = 200;
    private static final int BURST = 20;
    private static final double WINDOW_SECONDS = 5;
    private static final double LIMIT = (RATE * WINDOW_SECONDS + BURST) * 1.1 + 20;
    private static final double JOIN_AT_SECONDS = 63;
    private static final double LOAD_SECONDS = 22;
    private static final int CLIENTS_PER_DAEMON = 20;
    private static final double CLIENT_GAP_SECONDS = 0.3;
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

    /** A request that a target began to run. */
    private record Run(double sentAt, double arrivedAt) {}

    public static void main(String[] args) {
        Lab.main(args[0], QuotaCase::run);
    }

    private static int run(Lab lab) throws Exception {
        Lab.Store store = lab.new Store();
        store.listen();
        store.putText("op/config", CONFIG.replaceAll("\\s*\\n\\s*", ""));
        List<Lab.Target> targets = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            targets.add(lab.new Target(store, "i-" + i, "histsvc", Lab.ZONES[i % 3], "127.0.0." + (40 + i), 12, 30));
        }
        List<Lab.Daemon> daemons = new CopyOnWriteArrayList<>(lab.startDaemons(3, store, Lab.TENANT_BOUNDS, Lab.TENANT_CONTRACTS));
        if (daemons.isEmpty()) {
            return Lab.NOT_RUN;
        }
        // The first start of a system has rules of its own, which apply for a minute.
        Lab.sleep(JOIN_AT_SECONDS - Lab.seconds());
        List<Lab.Daemon> added = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            added.add(lab.new Daemon(
                            "added-" + i, "127.0.0." + (30 + i), Lab.ZONES[i], Lab.TENANT_BOUNDS, Lab.TENANT_CONTRACTS, store.port, false)
                    .start());
        }
        for (Lab.Daemon daemon : added) {
            if (!daemon.awaitReady(10)) {
                return Lab.NOT_RUN;
            }
        }
        daemons.addAll(added);
        lab.say("the added machines are ready");
        double start = Lab.seconds();
        Map<String, Double> sentAt = new ConcurrentHashMap<>();
        List<Thread> clients = new ArrayList<>();
        for (Lab.Daemon daemon : daemons) {
            for (int i = 0; i < CLIENTS_PER_DAEMON; i++) {
                String name = daemon.name + "-" + i;
                clients.add(Lab.spawn(() -> client(lab, daemon, name, start + LOAD_SECONDS, sentAt)));
            }
        }
        Lab.sleep(2);
        if (lab.trouble) {
            for (Lab.Daemon daemon : added) {
                daemon.signal("KILL");
            }
            Lab.sleep(0.5);
            for (Lab.Daemon daemon : added) {
                daemon.startAgain();
            }
        }
        for (Thread client : clients) {
            client.join();
        }
        return judge(lab, targets, sentAt, start);
    }

    /** A client of the tenant, which sends a request every 0.3 s on a connection that it keeps. */
    private static Void client(Lab lab, Lab.Daemon daemon, String name, double end, Map<String, Double> sentAt) throws Exception {
        Lab.Connection connection = null;
        double next = Lab.seconds() + new Random().nextDouble() * CLIENT_GAP_SECONDS;
        for (int number = 0; Lab.seconds() < end; number++) {
            next += CLIENT_GAP_SECONDS;
            Lab.sleep(Math.max(0, next - Lab.seconds()));
            String id = name + "-" + number;
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("Host", "cdr.example");
            headers.put("Attempt-Id", id);
            headers.put("Deadline-Ms", "3000");
            headers.put("Credential", "key-police");
            try {
                if (connection == null) {
                    connection = new Lab.Connection(daemon.host, daemon.front, 1000);
                }
                sentAt.put(id, Lab.seconds());
                lab.note("client sends %s", id);
                Lab.Reply reply = connection.call("GET", "/hist/" + id, headers, new byte[0], 3500);
                lab.note("client gets %s %d", id, reply.status);
            } catch (Exception e) {
                lab.note("client gets %s %s", id, e);
                if (connection != null) {
                    connection.close();
                    connection = null;
                }
            }
        }
        return null;
    }

    /** Counts the requests that were sent and arrived inside each window of five seconds. */
    private static int judge(Lab lab, List<Lab.Target> targets, Map<String, Double> sentAt, double start) {
        List<Run> runs = new ArrayList<>();
        for (Lab.Target target : targets) {
            synchronized (target.runs) {
                target.runs.forEach(run -> runs.add(new Run(sentAt.get(run.attempt()), run.at())));
            }
        }
        StringBuilder seconds = new StringBuilder();
        for (int i = 0; i < LOAD_SECONDS; i++) {
            double from = start + i;
            seconds.append(' ').append(runs.stream().filter(run -> run.arrivedAt() >= from && run.arrivedAt() < from + 1).count());
        }
        lab.say("run in each second:%s", seconds);
        long worst = 0;
        double worstFrom = 0;
        for (Run first : runs) {
            double from = first.sentAt();
            long count = runs.stream().filter(run -> run.sentAt() >= from && run.arrivedAt() < from + WINDOW_SECONDS).count();
            if (count > worst) {
                worst = count;
                worstFrom = from;
            }
        }
        lab.say("most in %.0f s: %d, from second %.1f; allowed %.0f", WINDOW_SECONDS, worst, worstFrom - start, LIMIT);
        return worst > LIMIT ? Lab.BROKEN : Lab.HELD;
    }
}
