package io.anvilpick.standins.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.SessionProtocol;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.time.Duration;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Serves a {@link KeyValueStore} over HTTP, with faults that {@code /admin} switches on and off. */
public final class PlatformStandIn {
    private static final int PERCENT = 100;
    private static final long MOST_VALUE_BYTES = 1024 * 1024;
    private static final Duration LOST_ANSWER = Duration.ofMinutes(10);

    private final JsonMapper json = new JsonMapper();
    private final KeyValueStore store = new KeyValueStore();
    private final CallCounts counts = new CallCounts();
    private final Map<String, String> vms = new ConcurrentHashMap<>();
    private final LossDraws losses;
    private volatile Faults faults;

    /** How a call counts against the platform's rates. */
    private enum Cost {
        READ,
        WRITE
    }

    private record EntryBody(String key, String value, long revision) {}

    private record RevisionBody(long revision) {}

    private record LeaseBody(long lease) {}

    private record VmBody(String address, String state) {}

    /** Draws which answers get lost, in the order of the writes; the same seed draws the same. Thread safe. */
    private static final class LossDraws {
        private final SplittableRandom random;

        LossDraws(long seed) {
            random = new SplittableRandom(seed);
        }

        synchronized boolean nextIsLost(int percent) {
            return random.nextInt(PERCENT) < percent;
        }
    }

    private PlatformStandIn(int readsPerSecond, int writesPerSecond, long seed) {
        this.losses = new LossDraws(seed);
        this.faults = new Faults(false, 0, 0, readsPerSecond, writesPerSecond);
    }

    /** Returns a server on loopback, not started yet. */
    public static Server create(int port, int readsPerSecond, int writesPerSecond, long seed) {
        PlatformStandIn standIn = new PlatformStandIn(readsPerSecond, writesPerSecond, seed);
        ServerBuilder builder = Server.builder()
                .localPort(port, SessionProtocol.HTTP)
                .requestTimeout(LOST_ANSWER)
                .maxRequestLength(MOST_VALUE_BYTES * 2);
        standIn.addTo(builder);
        return builder.build();
    }

    private void addTo(ServerBuilder builder) {
        builder.service("/v1/kv", (context, request) -> switch (request.method()) {
            case GET -> guarded(Cost.READ, () -> read(context));
            case PUT -> guardedWrite(context, request);
            default -> HttpResponse.of(HttpStatus.METHOD_NOT_ALLOWED);
        });
        builder.service("/v1/list", (context, request) -> guarded(Cost.READ, () -> list(context)));
        builder.service("/v1/watch", (context, request) -> guarded(Cost.READ, () -> watch(context)));
        builder.service("/v1/leases", (context, request) -> guarded(Cost.WRITE, () -> grant(context)));
        builder.service("/v1/leases/renew", (context, request) -> guarded(Cost.WRITE, () -> renew(context)));
        builder.service("/v1/vms", (context, request) -> guarded(Cost.READ, this::listVms));
        builder.service("/admin/faults", (context, request) -> setFaults(context));
        builder.service("/admin/vm", (context, request) -> setVm(context));
        builder.service("/admin/counts", (context, request) -> answer(counts.totals()));
        builder.service(
                "/admin/restore",
                (context, request) -> HttpResponse.of(request.aggregate().thenApply(body -> {
                    store.restore(parameter(context, "key"), body.contentUtf8());
                    return HttpResponse.of(HttpStatus.OK);
                })));
    }

    /** Something that may be refused, or be answered late. */
    private interface Operation {
        HttpResponse run();
    }

    private HttpResponse guarded(Cost cost, Operation operation) {
        Faults present = faults;
        if (present.down()) {
            counts.countRefused();
            return HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE);
        }
        long now = System.currentTimeMillis();
        boolean taken =
                switch (cost) {
                    case READ -> counts.takeRead(now, present.readsPerSecond());
                    case WRITE -> counts.takeWrite(now, present.writesPerSecond());
                };
        if (!taken) {
            counts.countRefused();
            return HttpResponse.of(HttpStatus.TOO_MANY_REQUESTS);
        }
        return delayed(operation.run(), present.delayMillis());
    }

    private HttpResponse guardedWrite(ServiceRequestContext context, HttpRequest request) {
        return HttpResponse.of(request.aggregate().thenApply(body -> guarded(Cost.WRITE, () -> write(context, body))));
    }

    private HttpResponse write(ServiceRequestContext context, AggregatedHttpRequest body) {
        counts.countWrite();
        if (body.content().length() > MOST_VALUE_BYTES) {
            return HttpResponse.of(HttpStatus.REQUEST_ENTITY_TOO_LARGE);
        }
        long expected = Long.parseLong(parameter(context, "expect"));
        long lease = Long.parseLong(parameter(context, "lease"));
        long revision = store.compareAndSet(
                parameter(context, "key"), expected, body.contentUtf8(), lease, System.currentTimeMillis());
        if (losses.nextIsLost(faults.loseAnswersPercent())) {
            return delayed(HttpResponse.of(HttpStatus.OK), LOST_ANSWER.toMillis());
        }
        return revision > 0
                ? answer(new RevisionBody(revision))
                : answer(HttpStatus.CONFLICT, new RevisionBody(-revision));
    }

    private HttpResponse read(ServiceRequestContext context) {
        counts.countRead();
        return store.read(parameter(context, "key"), System.currentTimeMillis())
                .map(this::entry)
                .orElse(HttpResponse.of(HttpStatus.NOT_FOUND));
    }

    private HttpResponse list(ServiceRequestContext context) {
        counts.countRead();
        return answer(store.list(parameter(context, "prefix"), System.currentTimeMillis()).stream()
                .map(row -> new EntryBody(row.key(), row.value(), row.revision()))
                .toList());
    }

    private HttpResponse watch(ServiceRequestContext context) {
        counts.countWatch();
        long waitMillis = Long.parseLong(parameter(context, "wait_ms"));
        CompletableFuture<KeyValueStore.Row> found =
                store.watch(parameter(context, "key"), Long.parseLong(parameter(context, "after")));
        CompletableFuture<HttpResponse> answer = found.thenApply(this::entry)
                .completeOnTimeout(HttpResponse.of(HttpStatus.NO_CONTENT), waitMillis, TimeUnit.MILLISECONDS);
        answer.whenComplete((response, failure) -> store.forget(found));
        return HttpResponse.of(answer);
    }

    private HttpResponse grant(ServiceRequestContext context) {
        counts.countLease();
        long ttlMillis = Long.parseLong(parameter(context, "ttl_ms"));
        return answer(new LeaseBody(store.grantLease(ttlMillis, System.currentTimeMillis())));
    }

    private HttpResponse renew(ServiceRequestContext context) {
        counts.countLease();
        boolean renewed = store.renewLease(Long.parseLong(parameter(context, "lease")), System.currentTimeMillis());
        return HttpResponse.of(renewed ? HttpStatus.OK : HttpStatus.NOT_FOUND);
    }

    private HttpResponse listVms() {
        counts.countRead();
        return answer(vms.entrySet().stream()
                .map(vm -> new VmBody(vm.getKey(), vm.getValue()))
                .toList());
    }

    private HttpResponse setVm(ServiceRequestContext context) {
        String state = parameter(context, "state");
        if (state.equals("absent")) {
            vms.remove(parameter(context, "address"));
        } else {
            vms.put(parameter(context, "address"), state);
        }
        return HttpResponse.of(HttpStatus.OK);
    }

    private HttpResponse setFaults(ServiceRequestContext context) {
        Faults present = faults;
        faults = new Faults(
                Boolean.parseBoolean(parameter(context, "down", String.valueOf(present.down()))),
                Long.parseLong(parameter(context, "delay_ms", String.valueOf(present.delayMillis()))),
                Integer.parseInt(parameter(context, "lose_answers", String.valueOf(present.loseAnswersPercent()))),
                present.readsPerSecond(),
                present.writesPerSecond());
        return HttpResponse.of(HttpStatus.OK);
    }

    private HttpResponse entry(KeyValueStore.Row row) {
        return answer(new EntryBody(row.key(), row.value(), row.revision()));
    }

    private HttpResponse answer(Object body) {
        return answer(HttpStatus.OK, body);
    }

    private HttpResponse answer(HttpStatus status, Object body) {
        try {
            return HttpResponse.of(status, MediaType.JSON_UTF_8, json.writeValueAsString(body));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("an answer cannot be written", e);
        }
    }

    private static HttpResponse delayed(HttpResponse response, long millis) {
        return millis == 0 ? response : HttpResponse.delayed(response, Duration.ofMillis(millis));
    }

    private static String parameter(ServiceRequestContext context, String name) {
        return parameter(context, name, "");
    }

    private static String parameter(ServiceRequestContext context, String name, String otherwise) {
        String value = context.queryParam(name);
        return value == null ? otherwise : value;
    }
}
