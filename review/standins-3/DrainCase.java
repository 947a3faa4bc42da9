import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** DRAIN: a heartbeat that the store takes late makes a draining target ready again, and the target then ends as it had announced. */
final class DrainCase {
    private static final int DAEMONS = 5;
    private static final int TARGETS = 12;
    private static final int LEAVING = 3;
    private static final int WORK_MS = 180;
    private static final int REQUESTS_PER_SECOND = 155;
    private static final double DRAIN_SECONDS = 2;
    private static final double LOST_AT_SECONDS = 6;
    private static final double LOST_FOR_SECONDS = 4.5;
    private static final double LATE_SECONDS = 6;
    private static final double STABLE_WINDOW_SECONDS = 3;

    /** Time from the ack until the target exits, of each target that leaves. */
    private static final double[] SERVES_ON_SECONDS = {3.2, 3.6, 4.2};

    private static final double LENGTH_SECONDS = 20;
    private static final String CONFIG =
            """
            {"version":"00000002",
             "routes":{"columns":["name","host","prefix","kind","timeoutMs","aimMs","priority","attempts","service"],
              "rows":[["rental-charge","tally.example","/charge/","non_idempotent",1500,500,2,2,"tillhand"]]},
             "services":{"columns":["name","healthPath","maxConns","protocol","tls"],"rows":[["tillhand","/healthz",220,"h1",false]]},
             "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}
            """;

    public static void main(String[] args) {
        Lab.main(args[0], DrainCase::run);
    }

    private static int run(Lab lab) throws Exception {
        Lab.Store store = lab.new Store();
        store.listen();
        store.putText("op/config", CONFIG.replaceAll("\\s*\\n\\s*", ""));
        List<Lab.Target> targets = new ArrayList<>();
        for (int i = 0; i < TARGETS; i++) {
            targets.add(lab.new Target(store, "till-" + i, "tillhand", Lab.ZONES[i % 3], "127.0.0." + (40 + i), 4, WORK_MS));
        }
        List<Lab.Daemon> daemons = lab.startDaemons(DAEMONS, store, Lab.BASE_BOUNDS, Lab.BASE_CONTRACTS);
        if (daemons.isEmpty()) {
            return Lab.NOT_RUN;
        }
        double start = Lab.seconds();
        Map<Lab.Target, Double> acknowledged = new ConcurrentHashMap<>();
        for (int i = 0; i < LEAVING; i++) {
            Lab.Target leaving = targets.get(i);
            double servesOn = SERVES_ON_SECONDS[i];
            Lab.spawn(() -> leave(lab, store, leaving, servesOn, start, acknowledged));
        }
        Map<String, Double> sentAt = new ConcurrentHashMap<>();
        Map<String, Integer> answers = new ConcurrentHashMap<>();
        AtomicInteger sent = new AtomicInteger();
        try (ExecutorService clients = Executors.newVirtualThreadPerTaskExecutor()) {
            while (Lab.seconds() < start + LENGTH_SECONDS) {
                int number = sent.incrementAndGet();
                clients.submit(() -> request(lab, daemons.get(number % DAEMONS), "c" + number, sentAt, answers));
                Lab.sleep(Math.max(0, start + (double) number / REQUESTS_PER_SECOND - Lab.seconds()));
            }
            clients.shutdown();
            clients.awaitTermination(6, TimeUnit.SECONDS);
        }
        return judge(lab, acknowledged, sentAt, answers);
    }

    /**
     * Ends a target as planned: it reports that it drains, serves on for a while and exits. The last heartbeat before the report had no
     * answer, and the store carries it out {@link #LATE_SECONDS} after it was sent.
     */
    private static Void leave(
            Lab lab, Lab.Store store, Lab.Target target, double servesOn, double start, Map<Lab.Target, Double> acknowledged)
            throws Exception {
        double lostUntil = start + LOST_AT_SECONDS + LOST_FOR_SECONDS;
        Lab.sleep(lostUntil - 0.05 - Lab.seconds());
        String lateBeat = target.entry();
        double beatAt = Lab.seconds();
        lab.note("target %s sends a heartbeat, the store does not answer", target.id);
        Lab.sleep(lostUntil + STABLE_WINDOW_SECONDS + 0.1 - Lab.seconds());
        target.leaving = true;
        target.register();
        acknowledged.put(target, Lab.seconds());
        target.registers = false;
        lab.note("the store acknowledges that target %s drains", target.id);
        if (lab.trouble) {
            Lab.sleep(beatAt + LATE_SECONDS - Lab.seconds());
            lab.note("the store carries out the heartbeat of target %s", target.id);
            store.putText("servers/" + target.id, lateBeat);
        }
        Lab.sleep(acknowledged.get(target) + servesOn - Lab.seconds());
        store.delete("servers/" + target.id);
        target.crash();
        return null;
    }

    private static void request(
            Lab lab, Lab.Daemon daemon, String id, Map<String, Double> sentAt, Map<String, Integer> answers) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "tally.example");
        headers.put("Attempt-Id", id);
        headers.put("Deadline-Ms", "3000");
        sentAt.put(id, Lab.seconds());
        lab.note("client sends %s to %s", id, daemon.name);
        try {
            Lab.Reply reply =
                    Lab.Http.call(daemon.host, daemon.front, "DELETE", "/charge/" + id, headers, new byte[0], 3500);
            answers.put(id, reply.status);
            lab.note("client gets %s %d %s", id, reply.status, reply.header("Response-Seal").isEmpty() ? reply.text().trim() : "sealed");
        } catch (Exception e) {
            lab.note("client gets %s %s", id, e);
        }
    }

    /** Counts the requests that reached a target later than {@link #DRAIN_SECONDS} after the store had acknowledged that it drains. */
    private static int judge(
            Lab lab, Map<Lab.Target, Double> acknowledged, Map<String, Double> sentAt, Map<String, Integer> answers) {
        int late = 0;
        int lost = 0;
        for (Map.Entry<Lab.Target, Double> entry : acknowledged.entrySet()) {
            synchronized (entry.getKey().runs) {
                for (Lab.Target.Run run : entry.getKey().runs) {
                    double after = run.at() - entry.getValue();
                    if (after <= DRAIN_SECONDS) {
                        continue;
                    }
                    late++;
                    boolean answered = answers.getOrDefault(run.attempt(), 0) == 200;
                    lost += answered ? 0 : 1;
                    lab.say("%s reached %s %.3f s after the ack, answer %s", run.attempt(), entry.getKey().id, after, answers.get(run.attempt()));
                }
            }
        }
        lab.say("sent %d, reached a draining target later than %.1f s after the ack: %d, of these not answered with success: %d",
                sentAt.size(), DRAIN_SECONDS, late, lost);
        return late > 0 ? Lab.BROKEN : Lab.HELD;
    }
}
