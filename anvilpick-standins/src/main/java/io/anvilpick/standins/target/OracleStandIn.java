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
 * The floor in benchmarks: one queue before all targets that sees their true state at once. Thread safe under one lock.
 *
 * <p>It lives in the process of the targets and puts calls into their slots without a network in between. A call waits
 * rather than go to a target that is slow just now, as long as others are not.
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

    /** Returns a server on loopback, not started yet, that takes calls as a daemon does, under {@code /s/SERVICE}. */
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

    /** Takes a target down or up. */
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
                wake();
            });
        }
    }

    private void wake() {
        lock.lock();
        try {
            startWaiting();
        } finally {
            lock.unlock();
        }
    }

    private @Nullable TargetStandIn fastestFree() {
        TargetStandIn fastest = null;
        double least = Double.MAX_VALUE;
        double leastOfAll = Double.MAX_VALUE;
        for (TargetStandIn target : targets) {
            double factor = target.trueFactor();
            leastOfAll = Math.min(leastOfAll, factor);
            if (factor < least && target.isFree()) {
                fastest = target;
                least = factor;
            }
        }
        return least >= SLOW_FACTOR * leastOfAll ? null : fastest;
    }
}
