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

/**
 * Serves a {@link KeyValueStore} over HTTP in place of the platform's key-value service. The paths under {@code /admin}
 * set faults and the states of VMs, restore stored values, let the store return from an older copy, and return the call counts.
 */
public final class PlatformStandIn {
    private static final int PERCENT = 100;
    private static final long MAX_VALUE_BYTES = 1024 * 1024;
    private static final Duration LOST_ANSWER_DELAY = Duration.ofMinutes(10);

    private final JsonMapper json = new JsonMapper();
    private final KeyValueStore store = new KeyValueStore();
    private final CallCounts counts = new CallCounts();
    private final Map<String, String> vms = new ConcurrentHashMap<>();
    private final LossGenerator lossGenerator;
    private volatile Faults faults;

    /** The rate limit that applies to a call. */
    private enum RateLimit {
        READ,
        WRITE
    }

    private record EntryBody(String key, String value, long revision) {}

    private record RevisionBody(long revision) {}

    private record EraBody(long era) {}

    private record LeaseBody(long lease) {}

    private record VmBody(String address, String state) {}

    /**
     * Chooses at random the writes whose answers are lost. The same seed gives the same choices, in the order of the
     * writes. Thread safe.
     */
    private static final class LossGenerator {
        private final SplittableRandom random;

        LossGenerator(long seed) {
            random = new SplittableRandom(seed);
        }

        synchronized boolean nextIsLost(int percent) {
            return random.nextInt(PERCENT) < percent;
        }
    }

    private PlatformStandIn(int readsPerSecond, int writesPerSecond, long seed) {
        this.lossGenerator = new LossGenerator(seed);
        this.faults = new Faults(false, 0, 0, readsPerSecond, writesPerSecond);
    }

    /** Returns a server on loopback, not started yet. */
    public static Server create(int port, int readsPerSecond, int writesPerSecond, long seed) {
        PlatformStandIn standIn = new PlatformStandIn(readsPerSecond, writesPerSecond, seed);
        ServerBuilder builder = Server.builder()
                .localPort(port, SessionProtocol.HTTP)
                .requestTimeout(LOST_ANSWER_DELAY)
                .maxRequestLength(MAX_VALUE_BYTES * 2);
        standIn.addTo(builder);
        return builder.build();
    }

    private void addTo(ServerBuilder builder) {
        builder.service("/v1/kv", (context, request) -> switch (request.method()) {
            case GET -> withFaults(RateLimit.READ, () -> read(context));
            case PUT -> writeWithFaults(context, request);
            default -> HttpResponse.of(HttpStatus.METHOD_NOT_ALLOWED);
        });
        builder.service("/v1/list", (context, request) -> withFaults(RateLimit.READ, () -> list(context)));
        builder.service("/v1/watch", (context, request) -> withFaults(RateLimit.READ, () -> watch(context)));
        builder.service("/v1/leases", (context, request) -> withFaults(RateLimit.WRITE, () -> grant(context)));
        builder.service("/v1/leases/renew", (context, request) -> withFaults(RateLimit.WRITE, () -> renew(context)));
        builder.service("/v1/vms", (context, request) -> withFaults(RateLimit.READ, this::listVms));
        builder.service("/admin/faults", (context, request) -> setFaults(context));
        builder.service("/admin/vm", (context, request) -> setVm(context));
        builder.service("/admin/go-back", (context, request) -> goBack(context));
        builder.service("/admin/counts", (context, request) -> answer(counts.totals()));
        builder.service(
                "/admin/restore",
                (context, request) -> HttpResponse.of(request.aggregate().thenApply(body -> {
                    store.restore(parameter(context, "key"), body.contentUtf8(), System.currentTimeMillis());
                    return HttpResponse.of(HttpStatus.OK);
                })));
    }

    /** An operation that can be refused or whose answer can be delayed. */
    private interface Operation {
        HttpResponse run();
    }

    private HttpResponse withFaults(RateLimit rateLimit, Operation operation) {
        Faults current = faults;
        if (current.down()) {
            counts.countRefused();
            return HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE);
        }
        long now = System.currentTimeMillis();
        boolean allowed =
                switch (rateLimit) {
                    case READ -> counts.allowRead(now, current.readsPerSecond());
                    case WRITE -> counts.allowWrite(now, current.writesPerSecond());
                };
        if (!allowed) {
            counts.countRefused();
            return HttpResponse.of(HttpStatus.TOO_MANY_REQUESTS);
        }
        return delayed(operation.run(), current.delayMillis());
    }

    private HttpResponse writeWithFaults(ServiceRequestContext context, HttpRequest request) {
        return HttpResponse.of(request.aggregate()
                .thenApply(body -> withFaults(RateLimit.WRITE, () -> write(context, body))));
    }

    private HttpResponse write(ServiceRequestContext context, AggregatedHttpRequest body) {
        counts.countWrite();
        if (body.content().length() > MAX_VALUE_BYTES) {
            return HttpResponse.of(HttpStatus.REQUEST_ENTITY_TOO_LARGE);
        }
        long expected = Long.parseLong(parameter(context, "expect"));
        long lease = Long.parseLong(parameter(context, "lease"));
        long revision = store.compareAndSet(
                parameter(context, "key"), expected, body.contentUtf8(), lease, System.currentTimeMillis());
        if (lossGenerator.nextIsLost(faults.loseAnswersPercent())) {
            return delayed(HttpResponse.of(HttpStatus.OK), LOST_ANSWER_DELAY.toMillis());
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
        CompletableFuture<KeyValueStore.Row> future =
                store.watch(parameter(context, "key"), Long.parseLong(parameter(context, "after")));
        CompletableFuture<HttpResponse> answer = future.thenApply(this::entry)
                .completeOnTimeout(HttpResponse.of(HttpStatus.NO_CONTENT), waitMillis, TimeUnit.MILLISECONDS);
        answer.whenComplete((response, failure) -> store.cancelWatch(future));
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
        Faults current = faults;
        faults = new Faults(
                Boolean.parseBoolean(parameter(context, "down", String.valueOf(current.down()))),
                Long.parseLong(parameter(context, "delay_ms", String.valueOf(current.delayMillis()))),
                Integer.parseInt(parameter(context, "lose_answers", String.valueOf(current.loseAnswersPercent()))),
                current.readsPerSecond(),
                current.writesPerSecond());
        return HttpResponse.of(HttpStatus.OK);
    }

    private HttpResponse goBack(ServiceRequestContext context) {
        long ageMillis = Long.parseLong(parameter(context, "age_ms"));
        return answer(new EraBody(store.goBack(ageMillis, System.currentTimeMillis())));
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
            throw new IllegalStateException("cannot encode the response body as JSON", e);
        }
    }

    private static HttpResponse delayed(HttpResponse response, long millis) {
        return millis == 0 ? response : HttpResponse.delayed(response, Duration.ofMillis(millis));
    }

    private static String parameter(ServiceRequestContext context, String name) {
        return parameter(context, name, "");
    }

    private static String parameter(ServiceRequestContext context, String name, String defaultValue) {
        String value = context.queryParam(name);
        return value == null ? defaultValue : value;
    }
}
