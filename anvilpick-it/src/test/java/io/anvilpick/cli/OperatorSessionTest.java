package io.anvilpick.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.io.Resources;
import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.server.Server;
import io.anvilpick.platform.http.HttpPlatform;
import io.anvilpick.settings.ExitCode;
import io.anvilpick.standins.platform.PlatformStandIn;
import io.anvilpick.time.ManualTimeSource;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Compares the output and exit codes of whole operator sessions with golden files.
 *
 * <p>To update a golden file after an intended change, run the test with {@code GOLDEN_OUT} set to a folder and review
 * the difference before committing it.
 */
class OperatorSessionTest {
    private static final Instant START = Instant.parse("2027-06-01T08:00:00Z");
    private static final Duration REST_OF_TERM = Duration.ofDays(122);

    @TempDir
    Path folder;

    private final ManualTimeSource time = ManualTimeSource.startingAt(START.toEpochMilli());
    private final Server platform = PlatformStandIn.create(0, 100_000, 100_000, 1);
    private final StringBuilder session = new StringBuilder();

    OperatorSessionTest() {
        platform.start().join();
    }

    @AfterEach
    void stop() {
        platform.stop().join();
    }

    @Test
    void sessionOfTheFirstOperatorUpToARefusedAccept() throws Exception {
        run("--version");
        run("template");
        write(
                "questionnaire.yaml",
                resource("questionnaire.yaml")
                        .replace("slotsPerTarget: 4", "slotsPerTarget: none")
                        .replace("zone: bg-east-2", "zone: bg-west-2"));
        run("check", "questionnaire.yaml");
        write("questionnaire.yaml", resource("questionnaire.yaml"));
        run("check", "questionnaire.yaml");
        run("generate", "questionnaire.yaml");
        run("status");
        run("diff", "questionnaire.yaml");
        run("accept", "--version", "0", "--key", "first.key", "--change-id", "change-1", "questionnaire.yaml");
        run("status");
        time.advance(Duration.ofHours(3));
        write("questionnaire.yaml", resource("questionnaire.yaml").replace("slotsPerTarget: 4", "slotsPerTarget: 6"));
        run("diff", "questionnaire.yaml");
        run("accept", "--version", "1", "--key", "first.key", "--change-id", "change-2", "questionnaire.yaml");
        write("other.yaml", resource("questionnaire.yaml").replace("slotsPerTarget: 4", "slotsPerTarget: 8"));
        run("accept", "--version", "1", "--key", "first.key", "--change-id", "change-3", "other.yaml");
        run("accept", "--version", "2", "--key", "second.key", "--change-id", "change-4", "other.yaml");
        run("history");
        run("accept", "other.yaml");
        run("nonsense");
        assertMatchesGoldenFile("session.txt");
    }

    @Test
    void handoverToTheNextOperatorAtTheEndOfTheTerm() throws Exception {
        write("questionnaire.yaml", resource("questionnaire.yaml"));
        write("successor.yaml", resource("successor.yaml"));
        run("accept", "--version", "0", "--key", "first.key", "--change-id", "change-1", "questionnaire.yaml");
        run("accept", "--version", "1", "--key", "second.key", "--change-id", "early", "successor.yaml");
        time.advance(REST_OF_TERM);
        run("status");
        run("accept", "--version", "1", "--key", "first.key", "--change-id", "late", "questionnaire.yaml");
        run("diff", "successor.yaml");
        run("accept", "--version", "1", "--key", "second.key", "--change-id", "change-2", "successor.yaml");
        run("accept", "--version", "2", "--key", "first.key", "--change-id", "too-late", "questionnaire.yaml");
        run("status");
        run("history");
        assertMatchesGoldenFile("handover.txt");
    }

    private void run(String... arguments) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        CommandContext context = new CommandContext(
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8),
                Map.of("ANVILPICK_PLATFORM", "127.0.0.1:" + platform.activeLocalPort()),
                address -> HttpPlatform.at(address, ClientFactory.ofDefault(), time),
                time);
        ExitCode code = OperatorCli.run(context, withResolvedFiles(arguments));
        session.append("$ anvilpick ").append(String.join(" ", arguments)).append('\n');
        session.append(relativized(out)).append(relativized(err));
        session.append("[exit ").append(code.code()).append("]\n\n");
    }

    /** Resolves file names against the test folder. The session shows them relative to it. */
    private String[] withResolvedFiles(String... arguments) {
        List<String> resolved = new ArrayList<>();
        for (String argument : arguments) {
            boolean isFile = argument.endsWith(".yaml") || argument.endsWith(".key");
            resolved.add(isFile ? folder.resolve(argument).toString() : argument);
        }
        return resolved.toArray(String[]::new);
    }

    private String relativized(ByteArrayOutputStream printed) {
        return printed.toString(StandardCharsets.UTF_8).replace(folder + "/", "");
    }

    private void write(String name, String text) throws IOException {
        Files.writeString(folder.resolve(name), text);
        Files.writeString(folder.resolve("first.key"), resource("first.key"));
        Files.writeString(folder.resolve("second.key"), resource("second.key"));
    }

    private void assertMatchesGoldenFile(String golden) throws IOException {
        String out = System.getenv("GOLDEN_OUT");
        if (out != null) {
            Files.writeString(Path.of(out, golden), session.toString());
        }
        assertEquals(resource(golden), session.toString());
    }

    private static String resource(String name) throws IOException {
        return Resources.toString(Resources.getResource(OperatorSessionTest.class, name), StandardCharsets.UTF_8);
    }
}
