package io.anvilpick.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.anvilpick.settings.ExitCode;
import io.anvilpick.time.ManualTimeSource;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ExplainCommandTest {
    private static final String FIRST_DAEMON = """
            time=2026-03-16T13:56:40Z level=INFO event=target_seen id=i-1 entry="RegisteredTarget[config=i-1]"
            WARNING: a line of the runtime that is no event
            time=2026-03-16T13:56:48Z level=WARN event=request_failed kind=no_target id=abc call=57 host=h path=/p configuration=7 route=r-1 service=s ms=441 waits_ms=2960 sends=1 steps=40@sent:i-1/z/factor=1.1/busy=2.0,441@not_sent(ConnectTimeoutException):i-1 reason="no connection to target i-1"
            time=2026-03-16T13:56:49Z level=INFO event=target_gone id=i-1
            """;

    private static final String SECOND_DAEMON = """
            time=2026-03-16T13:56:50Z level=INFO event=request_answered status=200 id=abc call=3 host=h path=/p configuration=7 route=r-1 service=s ms=200 waits_ms=2100 sends=1 steps=1@sent:i-2/z/factor=1.0/busy=0.0,200@answered200:i-2
            """;

    private static final String EXPLAINED = """
            2026-03-16T13:56:48Z one.log: request_failed no_target
              route r-1, service s, configuration 7, ended after 441 ms; the caller waits up to 2960 ms
              40 ms: sent:i-1/z/factor=1.1/busy=2.0
                last event of the target, at 2026-03-16T13:56:40Z: target_seen RegisteredTarget[config=i-1]
              441 ms: not_sent(ConnectTimeoutException):i-1
              reason: no connection to target i-1
            2026-03-16T13:56:50Z two.log: request_answered 200
              route r-1, service s, configuration 7, ended after 200 ms; the caller waits up to 2100 ms
              1 ms: sent:i-2/z/factor=1.0/busy=0.0
              200 ms: answered200:i-2
            """;

    @TempDir
    private Path folder;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private ExitCode run(String... args) {
        ManualTimeSource time = ManualTimeSource.startingAt(0);
        CommandContext context = new CommandContext(
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8),
                Map.of(),
                address -> {
                    throw new AssertionError("explain must not access the platform");
                },
                time);
        return OperatorCli.run(context, args);
    }

    private String write(String name, String text) throws IOException {
        return Files.writeString(folder.resolve(name), text).toString();
    }

    @Test
    void showsARequestFromTheLogsOfSeveralDaemonsInOrderOfTime() throws Exception {
        String two = write("two.log", SECOND_DAEMON);
        String one = write("one.log", FIRST_DAEMON);
        assertEquals(ExitCode.OK, run("explain", "abc", two, one));
        String shown = out.toString(StandardCharsets.UTF_8).replace(folder + "/", "");
        assertEquals(EXPLAINED, shown);
    }

    @Test
    void reportsThatNoLogHasTheRequest() throws Exception {
        assertEquals(ExitCode.DATA, run("explain", "other", write("one.log", FIRST_DAEMON)));
        assertTrue(err.toString(StandardCharsets.UTF_8).contains("no log line of request other"));
    }

    @Test
    void rejectsAMissingFileArgumentAndAnUnreadableFile() {
        assertEquals(ExitCode.USAGE, run("explain", "abc"));
        assertEquals(
                ExitCode.NO_INPUT,
                run("explain", "abc", folder.resolve("missing").toString()));
    }
}
