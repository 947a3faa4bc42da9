package io.anvilpick.daemon.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import com.google.common.collect.ImmutableList;
import com.linecorp.armeria.client.ClientFactory;
import io.anvilpick.calls.CallRequest;
import io.anvilpick.calls.TargetReply;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.daemon.ScriptedServer;
import io.anvilpick.daemon.ScriptedServer.Ending;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against invalid answers that reach a caller over Armeria's client. */
@Timeout(60)
class HttpTargetClientTest {
    private static final TimeSource TIME = TimeSource.system();
    private static final long MAX_ANSWER_BYTES = 100_000;

    private static final ClientFactory FACTORY =
            ClientFactory.builder().preferHttp1(true).useHttp2Preface(false).build();

    private final HttpTargetClient client = new HttpTargetClient(FACTORY, MAX_ANSWER_BYTES, TIME, Runnable::run);
    private ScriptedServer target;

    @BeforeEach
    void start() throws Exception {
        target = new ScriptedServer();
    }

    @AfterEach
    void close() {
        target.close();
    }

    @AfterAll
    static void closeFactory() {
        FACTORY.close();
    }

    private TargetReply send() {
        CallRequest request = new CallRequest(
                "s",
                "",
                "GET",
                "/a",
                ImmutableList.of(),
                new byte[0],
                Optional.empty(),
                Deadline.after(TIME, Duration.ofSeconds(5)),
                0);
        TargetConfig config = new TargetConfig("i-1", "127.0.0.1", target.port(), "z", false);
        return client.send(config, request).reply().join();
    }

    /** The heads that Armeria passes on as valid although they are not are listed in {@code docs/design/failures.md}. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "000 No",
                "0 No",
                "099 No",
                "600 No",
                "999 No",
                "-1 No",
                "20 OK",
                "2000 OK",
                "99999999999 OK",
                "",
                " OK",
                "2 0 0",
                "20 0 OK",
                "abc OK",
                "2x0 OK",
                "100 Continue",
                "101 Switching Protocols",
                "103 Early Hints",
            })
    void anAnswerWithAnInvalidStatusIsNoAnswer(String status) {
        target.enqueue("HTTP/1.1 " + status + "\r\ncontent-length: 0\r\n\r\n", Ending.CLOSE);
        TargetReply reply = send();
        assertFalse(reply instanceof TargetReply.Answered, reply.toString());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "content-length: 4\r\ncontent-length: 4",
                "content-length: 4\r\ncontent-length: 2",
                "content-length: 4, 4",
                "content-length: +4",
                "content-length: -4",
                "content-length: ",
                "content-length: 4 4",
                "content-length: 4x",
                "content-length: 9223372036854775808",
            })
    void anAnswerWithAnInvalidLengthIsNoAnswer(String framing) {
        target.enqueue("HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\nbody", Ending.CLOSE);
        TargetReply reply = send();
        assertFalse(reply instanceof TargetReply.Answered, reply.toString());
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 299, 404, 418, 530, 599})
    void anAnswerWithAnyFinalStatusPassesUnchanged(int status) {
        target.enqueue("HTTP/1.1 " + status + " A\r\ncontent-length: 4\r\n\r\nbody", Ending.KEEP);
        TargetReply.Answered answered = assertInstanceOf(TargetReply.Answered.class, send());
        assertEquals(status, answered.answer().status());
    }

    /** Guards against further calls on the connection of a faulty target. Runs into its time limit if the connection is kept. */
    @Test
    void anInvalidStatusClosesItsConnection() {
        target.enqueue("HTTP/1.1 000 No\r\ncontent-length: 0\r\n\r\n", Ending.KEEP);
        assertInstanceOf(TargetReply.Lost.class, send());
        // The connection closes some time after the reply, so the next calls may still use it.
        while (target.connections.size() == 1) {
            target.enqueue("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", Ending.KEEP);
            send();
        }
    }
}
