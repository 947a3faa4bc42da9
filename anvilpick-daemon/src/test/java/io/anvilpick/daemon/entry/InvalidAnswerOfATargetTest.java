package io.anvilpick.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.anvilpick.calls.Header;
import io.anvilpick.calls.Sender;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.crashes.CrashHistory;
import io.anvilpick.daemon.ScriptedServer;
import io.anvilpick.daemon.metrics.EntryMetrics;
import io.anvilpick.daemon.target.connections.NettyTargetClient;
import io.anvilpick.daemon.target.connections.TargetHeaders;
import io.anvilpick.dispatch.TargetTraits;
import io.anvilpick.entry.EntryCrashGuard;
import io.anvilpick.entry.EntryDispatchers;
import io.anvilpick.entry.EntryEvents;
import io.anvilpick.entry.EntryRequest;
import io.anvilpick.entry.EntryRunner;
import io.anvilpick.entry.SharedBudget;
import io.anvilpick.error.AnswerTable;
import io.anvilpick.error.CallException;
import io.anvilpick.error.Outcome;
import io.anvilpick.fleet.FleetChange;
import io.anvilpick.fleet.FleetState;
import io.anvilpick.fleet.RegisteredTarget;
import io.anvilpick.limits.HeldBytes;
import io.anvilpick.routes.Backend;
import io.anvilpick.routes.RequestLimits;
import io.anvilpick.routes.RetrySafety;
import io.anvilpick.routes.Route;
import io.anvilpick.routes.RouteConfiguration;
import io.anvilpick.routes.RouteTable;
import io.anvilpick.tenants.TenantHeaders;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against an answer with an invalid head that reaches a caller, on the path from a request to the answer to it. */
@Timeout(60)
class InvalidAnswerOfATargetTest {
    private static final TargetHeaders NAMES = new TargetHeaders(
            "x-id",
            "x-left",
            "x-seal",
            "x-target",
            "x-load",
            "warm-up-left",
            "x-not-run",
            "x-leaving",
            new TenantHeaders("x-key", "x-tenant"));
    private static final TimeSource TIME = TimeSource.system();
    private static final EventLoopGroup LOOPS = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private static final String HEALTH = "/healthz";
    private static final long MAX_HELD_BYTES = 1_000_000;
    private static final int TIMEOUT_MS = 20_000;
    private static final int PRIORITY = 1;
    private static final int ATTEMPTS = 2;
    private static final int REQUESTS = 10;

    /** Extra calls of all daemons. The share of this one lets each request be sent again. */
    private static final int EXTRA_CALLS = 1_000;

    private static final int BAD_GATEWAY = 502;

    private final FleetState state;
    private final EntryRunner runner;
    private final ScriptedServer sound = new ScriptedServer(request -> answer(request, "HTTP/1.1 200 OK"));

    InvalidAnswerOfATargetTest() throws Exception {
        NettyTargetClient targets = new NettyTargetClient(LOOPS, NAMES, TIME, HeldBytes.atMost(MAX_HELD_BYTES));
        EntryCrashGuard crashes = new EntryCrashGuard(new CrashHistory(TIME), targets, report -> {}, TIME);
        EntryEvents events = new EntryEvents(new EntryMetrics(TimeSource.system()), TIME);
        EntryDispatchers dispatchers = new EntryDispatchers(
                TIME, () -> new SplittableRandom(3), new SharedBudget(1, EXTRA_CALLS, Duration.ofSeconds(10)), "z");
        state = new FleetState(TIME, dispatchers::update);
        Sender sender = new Sender(
                targets, crashes, events, TIME, (nanos, run) -> LOOPS.schedule(run, nanos, TimeUnit.NANOSECONDS));
        runner = new EntryRunner(
                new EntryRunner.Parts(state::view, dispatchers, sender, targets, crashes, events, TIME));
    }

    @AfterEach
    void close() {
        sound.close();
    }

    @AfterAll
    static void closeLoops() {
        LOOPS.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Returns a valid reply to a probe, and an answer with {@code statusLine} to another request. */
    private static String answer(String request, String statusLine) {
        if (request.startsWith("GET " + HEALTH)) {
            return "HTTP/1.1 200 OK\r\nx-load: 0,0,4,1\r\ncontent-length: 0\r\n\r\n";
        }
        String id = request.lines()
                .filter(line -> line.startsWith("x-id: "))
                .findFirst()
                .orElseThrow();
        return statusLine + "\r\n" + id + "\r\nx-seal: s\r\ncontent-length: 4\r\n\r\nbody";
    }

    private void configure(ScriptedServer... servers) {
        state.apply(List.of(new FleetChange.ConfigurationWritten(new RouteConfiguration(
                1,
                RouteTable.of(List.of(
                        route("read", "/read/", new RetrySafety.Idempotent()),
                        route("charge", "/charge/", new RetrySafety.AtMostOncePerAttempt()))),
                ImmutableMap.of("s", new RouteConfiguration.ServiceSettings(HEALTH, 10)),
                new RequestLimits(1_000)))));
        for (ScriptedServer server : servers) {
            state.apply(List.of(new FleetChange.TargetRegistered(new RegisteredTarget(
                    new TargetConfig("i-" + server.port(), "127.0.0.1", server.port(), "z", false),
                    "s",
                    new TargetTraits(4, Deadline.after(TIME, Duration.ZERO))))));
        }
    }

    private static Route route(String name, String prefix, RetrySafety safety) {
        return new Route(
                name,
                "a.example",
                prefix,
                safety,
                TIMEOUT_MS,
                TIMEOUT_MS,
                PRIORITY,
                ATTEMPTS,
                ImmutableList.of(new Backend("s", 1)));
    }

    private int statusOf(String path, int number) throws CallException, InterruptedException {
        String id = "id-" + number;
        return runner.run(new EntryRequest(
                        id,
                        "a.example",
                        "POST",
                        path,
                        ImmutableList.of(new Header("x-id", id)),
                        new byte[0],
                        TIME.nanos(),
                        Deadline.after(TIME, Duration.ofMillis(TIMEOUT_MS))))
                .status();
    }

    private static ScriptedServer faulty(String statusLine) throws Exception {
        return new ScriptedServer(request -> answer(request, statusLine));
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 000 No", "HTTP/1.1 101 Up", "HTTP/1.1 600 No", "HTTP/2.0 200 OK"})
    void anIdempotentRequestGetsTheAnswerOfAnotherTarget(String statusLine) throws Exception {
        try (ScriptedServer faulty = faulty(statusLine)) {
            configure(faulty, sound);
            for (int i = 0; i < REQUESTS; i++) {
                assertEquals(200, statusOf("/read/a", i));
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 000 No", "HTTP/1.1 101 Up", "HTTP/1.1 0503 No", "HTTP/2.0 503 No"})
    void anotherRequestIsSentOnceAndItsCallerGets502(String statusLine) throws Exception {
        try (ScriptedServer faulty = faulty(statusLine)) {
            configure(faulty);
            CallException failure = assertThrows(CallException.class, () -> statusOf("/charge/a", 1));
            assertEquals(Outcome.UNKNOWN, AnswerTable.answerFor(failure.kind()).outcome());
            assertEquals(BAD_GATEWAY, AnswerTable.answerFor(failure.kind()).status());
            long sent = faulty.requests.stream()
                    .filter(request -> request.startsWith("POST"))
                    .count();
            assertEquals(1, sent);
        }
    }
}
