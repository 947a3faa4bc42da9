import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** Sends requests of clients, each on a new connection and with an id of its own. */
final class Caller {
    static final String HOST = "jepu9.example";
    private static final AtomicLong IDS = new AtomicLong(System.nanoTime() & 0xffffff);

    private Caller() {}

    /** The result of one attempt; {@code status} is 0 if the connection ended without an answer. */
    record Result(String id, int status, String body) {}

    static String nextId() {
        return "%016x".formatted(IDS.incrementAndGet());
    }

    static Result send(Daemon daemon, String id, String method, String path, Map<String, String> more, int deadlineMs) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", HOST);
        headers.put("Attempt-Id", id);
        headers.put("Deadline-Ms", Integer.toString(deadlineMs));
        headers.putAll(more);
        byte[] body = method.equals("POST") ? "charge".getBytes(StandardCharsets.UTF_8) : new byte[0];
        Http.Message answer = Http.call(daemon.front(), method, path, headers, body, deadlineMs + 500);
        return answer == null ? new Result(id, 0, "") : new Result(id, answer.status(), answer.text());
    }
}
