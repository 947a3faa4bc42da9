import java.io.InputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/** LOST: three machines are stopped in turn while six clients upload files, and the daemon breaks off answers that begin. */
final class LostCase {
    private static final int CLIENTS = 6;
    private static final int BODY_BYTES = 8_200_000;
    private static final int ANSWER_BYTES = 2_000;
    private static final int WORK_MS = 300;
    private static final int ANSWER_MS = 400;
    private static final int DEADLINE_MS = 10_000;
    private static final double FIRST_STOP_SECONDS = 8;
    private static final double GAP_SECONDS = 2;
    private static final double GRACE_SECONDS = 6;
    private static final double LENGTH_SECONDS = 25;
    private static final String CONFIG =
            """
            {"version":"00000002",
             "routes":{"columns":["name","host","prefix","kind","timeoutMs","aimMs","priority","attempts","service"],
              "rows":[["pass-settle","tally.example","/settle/","non_idempotent",8000,2000,1,2,"passbook"]]},
             "services":{"columns":["name","healthPath","maxConns","protocol","tls"],"rows":[["passbook","/healthz",220,"h1",false]]},
             "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}
            """;

    /** A request that a target worked on when its connection was closed. */
    private record BrokenOff(String attempt, double at) {}

    /** An answer that a client got. */
    private record Answer(String attempt, Lab.Daemon daemon, int status, boolean sealed) {}

    /** A target that sends its answer in two parts and is at work until the second one. It stops when its connection is closed. */
    private static final class StreamingTarget {
        private final Lab lab;
        private final Lab.Target target;

        StreamingTarget(Lab lab, Lab.Store store, int number, ConcurrentLinkedQueue<BrokenOff> brokenOff) throws IOException {
            this.lab = lab;
            this.target = lab.new Target(store, "pass-" + number, "passbook", Lab.ZONES[number % 3], "127.0.0." + (40 + number), 4, WORK_MS) {
                @Override
                void respond(Lab.Request request, Map<String, String> headers, Socket socket, OutputStream out) throws Exception {
                    byte[] whole = Lab.answer(200, headers, new byte[ANSWER_BYTES]);
                    int half = whole.length - ANSWER_BYTES / 2;
                    out.write(whole, 0, half);
                    out.flush();
                    String attempt = request.header("Attempt-Id");
                    if (isClosedWithin(socket, ANSWER_MS)) {
                        brokenOff.add(new BrokenOff(attempt, Lab.seconds()));
                        StreamingTarget.this.lab.note("target %s: connection closed while at work on %s", id, attempt);
                        throw new IOException("closed");
                    }
                    out.write(whole, half, ANSWER_BYTES - ANSWER_BYTES / 2);
                    out.flush();
                    StreamingTarget.this.lab.note("target %s has answered %s", id, attempt);
                }
            };
        }

        /** Returns whether the daemon closes the connection in the next {@code millis}. It sends nothing else meanwhile. */
        private static boolean isClosedWithin(Socket socket, int millis) throws IOException {
            socket.setSoTimeout(millis);
            try {
                InputStream in = socket.getInputStream();
                return in.read() < 0;
            } catch (SocketTimeoutException e) {
                socket.setSoTimeout(0);
                return false;
            } catch (IOException e) {
                return true;
            }
        }
    }

    public static void main(String[] args) {
        Lab.main(args[0], LostCase::run);
    }

    private static int run(Lab lab) throws Exception {
        Lab.Store store = lab.new Store();
        store.listen();
        store.putText("op/config", CONFIG.replaceAll("\\s*\\n\\s*", ""));
        ConcurrentLinkedQueue<BrokenOff> brokenOff = new ConcurrentLinkedQueue<>();
        List<StreamingTarget> targets = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            targets.add(new StreamingTarget(lab, store, i, brokenOff));
        }
        List<Lab.Daemon> daemons = lab.startDaemons(3, store, Lab.BASE_BOUNDS, Lab.BASE_CONTRACTS);
        if (daemons.isEmpty()) {
            return Lab.NOT_RUN;
        }
        double start = Lab.seconds();
        ConcurrentLinkedQueue<Answer> answers = new ConcurrentLinkedQueue<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.add(Lab.spawn(() -> client(lab, daemons, number, start + LENGTH_SECONDS, answers)));
        }
        Map<Lab.Daemon, Double> stoppedAt = new ConcurrentHashMap<>();
        if (lab.trouble) {
            stopInTurn(daemons, start, stoppedAt);
        }
        for (Thread client : clients) {
            client.join();
        }
        return judge(lab, brokenOff, answers, stoppedAt);
    }

    /** Stops one machine after the other, each two seconds after the one before, and starts each again when it has ended. */
    private static void stopInTurn(List<Lab.Daemon> daemons, double start, Map<Lab.Daemon, Double> stoppedAt) {
        for (int i = 0; i < daemons.size(); i++) {
            Lab.Daemon daemon = daemons.get(i);
            double at = start + FIRST_STOP_SECONDS + i * GAP_SECONDS;
            Lab.spawn(() -> {
                Lab.sleep(at - Lab.seconds());
                stoppedAt.put(daemon, Lab.seconds());
                daemon.signal("TERM");
                if (!daemon.process.waitFor((long) (GRACE_SECONDS * 1000), TimeUnit.MILLISECONDS)) {
                    daemon.process.destroyForcibly().waitFor();
                }
                Lab.sleep(0.3);
                daemon.startAgain();
                return null;
            });
        }
    }

    /**
     * A client that uploads one file after the other at its machine, and at the next one if that one refuses or has asked it to close
     * the connection.
     */
    private static Void client(Lab lab, List<Lab.Daemon> daemons, int number, double end, ConcurrentLinkedQueue<Answer> answers) {
        byte[] body = new byte[BODY_BYTES];
        Arrays.fill(body, (byte) 'x');
        int machine = number;
        for (int upload = 0; Lab.seconds() < end; upload++) {
            Lab.Daemon daemon = daemons.get(Math.floorMod(machine, daemons.size()));
            String attempt = "u" + number + "-" + upload;
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("Host", "tally.example");
            headers.put("Attempt-Id", attempt);
            headers.put("Deadline-Ms", Integer.toString(DEADLINE_MS));
            lab.note("client sends %s to %s", attempt, daemon.name);
            boolean leave = true;
            try {
                Lab.Reply reply = Lab.Http.call(
                        daemon.host, daemon.front, "POST", "/settle/" + attempt, headers, body, DEADLINE_MS + 500);
                boolean sealed = !reply.header("Response-Seal").isEmpty();
                lab.note("client gets %s %d %s", attempt, reply.status, sealed ? "sealed" : reply.text().trim());
                answers.add(new Answer(attempt, daemon, reply.status, sealed));
                leave = reply.status == 503 || reply.header("Connection").equalsIgnoreCase("close");
            } catch (IOException e) {
                lab.note("client gets %s %s", attempt, e);
            }
            if (leave) {
                machine++;
            }
            Lab.sleep(leave ? 0.3 : 0.1);
        }
        return null;
    }

    /**
     * Counts the requests that a stopping machine broke off while their target was at work, with an answer of its own in place of the
     * target's. What it breaks off in the last sixth of the grace period does not count.
     */
    private static int judge(
            Lab lab, Iterable<BrokenOff> brokenOff, Iterable<Answer> answers, Map<Lab.Daemon, Double> stoppedAt) {
        Map<String, Double> atWork = new LinkedHashMap<>();
        brokenOff.forEach(each -> atWork.put(each.attempt(), each.at()));
        int lost = 0;
        int calm = 0;
        int served = 0;
        for (Answer answer : answers) {
            served += answer.sealed() ? 1 : 0;
            Double at = atWork.get(answer.attempt());
            if (answer.sealed() || answer.status() == 503 || at == null) {
                continue;
            }
            Double stop = stoppedAt.get(answer.daemon());
            boolean stopping = stop != null && at >= stop && at < stop + GRACE_SECONDS * 5 / 6;
            lost += stopping ? 1 : 0;
            calm += stop == null || at < stop ? 1 : 0;
        }
        lab.say("served %d; broken off at work by a stopping machine: %d; by machines before their stop: %d", served, lost, calm);
        return lost > 0 ? Lab.BROKEN : Lab.HELD;
    }
}
