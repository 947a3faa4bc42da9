package io.anvilpick.load;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.ResponseTimeoutException;
import com.linecorp.armeria.client.UnprocessedRequestException;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import java.time.Duration;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletionException;

/**
 * Makes calls as a client of the load balancer does: queries a daemon for the address, sends the request, and retries it
 * if the answer says that a retry is safe. Thread safe. Each call blocks its thread.
 */
final class Caller {
    private static final int MAX_ATTEMPTS = 6;
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(10);
    private static final long BASE_DELAY_MILLIS = 50;

    private final WebClient client;
    private final AddressCache addressCache;

    Caller(WebClient client, AddressCache addressCache) {
        this.client = client;
        this.addressCache = addressCache;
    }

    /**
     * One call of a stream.
     *
     * @param number number of the call within its stream
     * @param runId unique id of the call, under which targets record its execution
     */
    record ScheduledCall(CallStream stream, long number, String runId) {
        static ScheduledCall create(CallStream stream, long number) {
            return new ScheduledCall(stream, number, UUID.randomUUID().toString());
        }
    }

    Result call(ScheduledCall call) throws InterruptedException {
        Result lastResult = new Result.NotRun("never_sent");
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            List<String> addresses = addressCache.addresses(call.stream().service());
            Attempt outcome = attempt(call, addresses.get(attempt % addresses.size()));
            lastResult = outcome.result();
            if (!outcome.safeToRetry()) {
                return lastResult;
            }
            Thread.sleep(BASE_DELAY_MILLIS << Math.min(attempt, 4));
        }
        return lastResult;
    }

    /** Result of one attempt, and whether another attempt is safe. */
    private record Attempt(Result result, boolean safeToRetry) {}

    private Attempt attempt(ScheduledCall call, String address) {
        try {
            AggregatedHttpResponse answer =
                    client.execute(newRequest(call, address)).aggregate().join();
            return attemptOfAnswer(call, answer);
        } catch (CompletionException e) {
            return attemptOfFailure(e.getCause() == null ? e : e.getCause());
        }
    }

    private static HttpRequest newRequest(ScheduledCall call, String address) {
        CallStream stream = call.stream();
        String path = stream.path() + "/" + call.number();
        RequestHeadersBuilder headers = RequestHeaders.builder(
                        HttpMethod.valueOf(stream.method()), "http://" + address + "/s/" + stream.service() + path)
                .add("x-run-id", call.runId())
                .add("anvilpick-tenant", stream.tenant());
        if (!stream.isWrite()) {
            return HttpRequest.of(headers.build());
        }
        headers.add("idempotency-key", call.runId());
        return HttpRequest.of(headers.build(), HttpData.ofUtf8("amount of " + call.number()));
    }

    private static Attempt attemptOfAnswer(ScheduledCall call, AggregatedHttpResponse answer) {
        String error = answer.headers().get("anvilpick-error");
        if (error == null) {
            boolean matches = answer.contentUtf8().contains(" " + call.runId() + " ");
            return new Attempt(matches ? new Result.Answered() : new Result.Cut("answer to another request"), false);
        }
        String resend = answer.headers().get("anvilpick-resend", "never");
        String outcome = answer.headers().get("anvilpick-outcome", "unknown");
        Result result = outcome.equals("not_run") ? new Result.NotRun(error) : new Result.Unknown(error);
        return new Attempt(result, !resend.equals("never"));
    }

    private static Attempt attemptOfFailure(Throwable cause) {
        if (cause instanceof UnprocessedRequestException) {
            return new Attempt(new Result.NotRun("no_connection"), true);
        }
        if (cause instanceof ResponseTimeoutException) {
            return new Attempt(new Result.Unknown("caller_timeout"), false);
        }
        return new Attempt(new Result.Cut(cause.toString()), false);
    }

    /** Returns a client that waits at most 10 seconds for a response. */
    static WebClient newClient(ClientFactory factory) {
        return WebClient.builder()
                .factory(factory)
                .responseTimeout(RESPONSE_TIMEOUT)
                .build();
    }
}
