package io.anvilpick.standins.target;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.SessionProtocol;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.ReentrantLock;
import org.jspecify.annotations.Nullable;

/**
 * The lower bound of latency in benchmarks: one queue in front of all targets that reads their true state without
 * delay. Thread safe; one lock guards all state.
 *
 * <p>The oracle runs in the process of the targets and hands calls to them without a network in between. A call waits
 * rather than go to a target whose current slowdown is at least three times that of the fastest target, busy or not.
 */
public final class OracleStandIn {
    private static final double SLOW_FACTOR = 3;

    private final List<TargetStandIn> targets;
    private final ReentrantLock lock = new ReentrantLock();
    private final Deque<Waiting> waiting = new ArrayDeque<>();

    private record Waiting(
            ServiceRequestContext context, AggregatedHttpRequest request, CompletableFuture<HttpResponse> response) {}

    private OracleStandIn(List<TargetStandIn> targets) {
        this.targets = List.copyOf(targets);
    }

    /** Returns a server on loopback, not started yet, that accepts calls under {@code /s/SERVICE} as a daemon does. */
    static Server create(int port, List<TargetStandIn> targets, TargetSwitch onSwitch) {
        OracleStandIn oracle = new OracleStandIn(targets);
        return Server.builder()
                .localPort(port, SessionProtocol.HTTP)
                .requestTimeout(Duration.ofMinutes(1))
                .service(
                        "/anvilpick/v1/address",
                        (context, request) -> HttpResponse.ofJson(Map.of(
                                "address", "127.0.0.1:" + port, "fallbacks", List.of(), "goodForMillis", 60_000)))
                .service("/admin/down", (context, request) -> switchTarget(context, onSwitch))
                .serviceUnder("/", oracle::call)
                .build();
    }

    /** Stops or starts the server of a target. */
    interface TargetSwitch {
        void set(int index, boolean down);
    }

    private static HttpResponse switchTarget(ServiceRequestContext context, TargetSwitch onSwitch) {
        int index = Integer.parseInt(String.valueOf(context.queryParam("target")));
        boolean down = Boolean.parseBoolean(context.queryParam("down"));
        return HttpResponse.of(CompletableFuture.supplyAsync(() -> {
            onSwitch.set(index, down);
            return HttpResponse.of(HttpStatus.OK);
        }));
    }

    private HttpResponse call(ServiceRequestContext context, HttpRequest request) {
        CompletableFuture<HttpResponse> response = new CompletableFuture<>();
        request.aggregate().thenAccept(whole -> {
            lock.lock();
            try {
                waiting.add(new Waiting(context, whole, response));
                startWaiting();
            } finally {
                lock.unlock();
            }
        });
        return HttpResponse.of(response);
    }

    private void startWaiting() {
        while (!waiting.isEmpty()) {
            TargetStandIn target = fastestFree();
            if (target == null) {
                return;
            }
            Waiting next = waiting.poll();
            target.enqueue(next.context(), next.request()).whenComplete((answer, failure) -> {
                next.response().complete(answer == null ? HttpResponse.of(HttpStatus.BAD_GATEWAY) : answer);
                startWaitingAfterCall();
            });
        }
    }

    private void startWaitingAfterCall() {
        lock.lock();
        try {
            startWaiting();
        } finally {
            lock.unlock();
        }
    }

    private @Nullable TargetStandIn fastestFree() {
        TargetStandIn fastest = null;
        double minFactor = Double.MAX_VALUE;
        double minFactorOfAll = Double.MAX_VALUE;
        for (TargetStandIn target : targets) {
            double factor = target.trueFactor();
            minFactorOfAll = Math.min(minFactorOfAll, factor);
            if (factor < minFactor && target.isFree()) {
                fastest = target;
                minFactor = factor;
            }
        }
        return minFactor >= SLOW_FACTOR * minFactorOfAll ? null : fastest;
    }
}
