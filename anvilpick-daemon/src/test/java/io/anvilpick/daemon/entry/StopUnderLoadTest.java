package io.anvilpick.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.daemon.ScriptedServer;
import io.anvilpick.daemon.target.connections.TargetHeaders;
import io.anvilpick.dispatch.TargetTraits;
import io.anvilpick.entry.SharedBudget;
import io.anvilpick.fleet.EntryMember;
import io.anvilpick.fleet.FleetChange;
import io.anvilpick.fleet.RegisteredTarget;
import io.anvilpick.fleet.StoreRevision;
import io.anvilpick.fleet.StoredItem;
import io.anvilpick.routes.Backend;
import io.anvilpick.routes.RequestLimits;
import io.anvilpick.routes.RetrySafety;
import io.anvilpick.routes.Route;
import io.anvilpick.routes.RouteConfiguration;
import io.anvilpick.routes.RouteTable;
import io.anvilpick.tenants.TenantHeaders;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a planned stop that closes the connection of a request which waits for a slot, without an answer. */
@Timeout(60)
class StopUnderLoadTest {
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
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int CUT = 0;
    private static final int LARGE_BODY_BYTES = 2_000_000;
    private static final int CALL_PORT = 20_011;
    private static final int METRICS_PORT = 20_012;

    /** One port for each test, because a daemon listens for its peers until its process ends. */
    private static final AtomicInteger NEXT_PEER_PORT = new AtomicInteger(20_013);

    private final int peerPort = NEXT_PEER_PORT.getAndIncrement();
    private final String address = Loopback.exclusiveAddress();
    private final FixedStore store =
            new FixedStore(new StoredItem("c", new StoreRevision(0, 1), Optional.of("configuration")));
    private final ScriptedServer silentTarget;

    StopUnderLoadTest() throws Exception {
        silentTarget = new ScriptedServer();
    }

    private EntryDaemon startDaemon(Duration grace) throws InterruptedException {
        EntryDaemon daemon = EntryDaemon.builder()
                .settings(settings(grace))
                .store(store)
                .decoder(item -> ImmutableList.of(
                        new FleetChange.ConfigurationWritten(configuration()),
                        new FleetChange.TargetRegistered(targetWithOneSlot(silentTarget.port()))))
                .headers(NAMES)
                .build();
        daemon.start();
        store.isFollowed.await();
        return daemon;
    }

    @AfterEach
    void closeTarget() {
        silentTarget.close();
    }

    private EntrySettings settings(Duration grace) {
        EntryMember self = new EntryMember("a", address + ":" + CALL_PORT, address + ":" + peerPort, "r", "z");
        return EntrySettings.builder(self)
                .callAddress(new InetSocketAddress(address, CALL_PORT))
                .metricsAddress(new InetSocketAddress(address, METRICS_PORT))
                .extraCalls(new SharedBudget(0, 0, Duration.ofSeconds(10)))
                .grace(grace)
                .addressesGoodFor(Duration.ofSeconds(2))
                .build();
    }

    private static RegisteredTarget targetWithOneSlot(int port) {
        return new RegisteredTarget(
                new TargetConfig("i-1", "127.0.0.1", port, "z", false),
                "s",
                new TargetTraits(1, Deadline.after(TimeSource.system(), Duration.ZERO)));
    }

    private static RouteConfiguration configuration() {
        Route route = new Route(
                "charge",
                "a.example",
                "/a/",
                new RetrySafety.AtMostOncePerAttempt(),
                50_000,
                50_000,
                1,
                1,
                ImmutableList.of(new Backend("s", 1)));
        return new RouteConfiguration(
                1,
                RouteTable.of(List.of(route)),
                ImmutableMap.of("s", new RouteConfiguration.ServiceSettings("/healthz", 10)),
                new RequestLimits(1_000));
    }

    private CompletableFuture<AggregatedHttpResponse> charge(int number) {
        return WebClient.builder("http://" + address + ":" + CALL_PORT)
                .addHeader("host", "a.example")
                .addHeader("x-id", "id-" + number)
                .responseTimeout(Duration.ZERO)
                .build()
                .post("/a/charge", "body")
                .aggregate();
    }

    private void awaitRequestsInFlight(int count) {
        WebClient metrics = WebClient.of("http://" + address + ":" + METRICS_PORT);
        String line = "anvilpick_requests_in_flight " + count;
        while (!metrics.get("/metrics").aggregate().join().contentUtf8().contains(line)) {
            // Each round waits for an answer.
        }
    }

    private void awaitChargeAtTheTarget() {
        WebClient metrics = WebClient.of("http://" + address + ":" + METRICS_PORT);
        while (silentTarget.requests.stream().noneMatch(request -> request.startsWith("POST"))) {
            // Each round waits for an answer.
            metrics.get("/metrics").aggregate().join();
        }
    }

    /** Answers charge 1 on each connection, also those of status checks, which may have read their request before it. */
    private void answerChargeOne() {
        String answer = "HTTP/1.1 200 OK\r\nx-id: id-1\r\nx-seal: s\r\ncontent-length: " + LARGE_BODY_BYTES + "\r\n\r\n"
                + "x".repeat(LARGE_BODY_BYTES);
        silentTarget.requests.forEach(request -> silentTarget.enqueue(answer, ScriptedServer.Ending.CLOSE));
    }

    @Test
    void requestThatWaitsForASlotIsRefusedBeforeTheDaemonCloses() throws Exception {
        EntryDaemon daemon = startDaemon(Duration.ofSeconds(1));
        List<CompletableFuture<AggregatedHttpResponse>> charges = List.of(charge(1), charge(2), charge(3));
        awaitRequestsInFlight(charges.size());
        awaitChargeAtTheTarget();
        daemon.shutDown();
        // The target is still working on one of them when the daemon ends.
        List<Integer> refused = charges.stream()
                .map(charge -> charge.handle((response, failure) ->
                                failure == null ? response.status().code() : CUT)
                        .join())
                .sorted()
                .toList();
        assertEquals(List.of(CUT, UNAVAILABLE, UNAVAILABLE), refused);
    }

    /** Guards against a stop that ends while the answer to a request in flight is being sent. */
    @Test
    void answerThatArrivesDuringTheStopIsDeliveredWhole() throws Exception {
        EntryDaemon daemon = startDaemon(Duration.ofSeconds(10));
        CompletableFuture<AggregatedHttpResponse> running = charge(1);
        awaitChargeAtTheTarget();
        CompletableFuture<AggregatedHttpResponse> waiting = charge(2);
        awaitRequestsInFlight(2);
        CompletableFuture<Void> stop = CompletableFuture.runAsync(() -> shutDown(daemon));
        assertEquals(UNAVAILABLE, waiting.join().status().code());
        answerChargeOne();
        stop.join();
        AggregatedHttpResponse answer = running.join();
        assertEquals(OK, answer.status().code());
        assertEquals(LARGE_BODY_BYTES, answer.content().length());
    }

    private static void shutDown(EntryDaemon daemon) {
        try {
            daemon.shutDown();
        } catch (InterruptedException e) {
            throw new IllegalStateException("the stop was interrupted", e);
        }
    }
}
