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
 * Makes one call as a caller would: asks where to send it, sends it, and sends it again where the answer says that this
 * is safe. Thread safe; each call blocks the thread it runs on.
 */
final class Caller {
    private static final int MOST_ATTEMPTS = 6;
    private static final Duration PATIENCE = Duration.ofSeconds(10);
    private static final long DEFAULT_PAUSE_MILLIS = 50;

    private final WebClient client;
    private final AddressBook book;

    Caller(WebClient client, AddressBook book) {
        this.client = client;
        this.book = book;
    }

    /** One call with the name under which targets record it. */
    record Order(CallStream stream, long number, String runId) {
        static Order create(CallStream stream, long number) {
            return new Order(stream, number, UUID.randomUUID().toString());
        }
    }

    Result call(Order order) throws InterruptedException {
        Result last = new Result.NotRun("never_sent");
        for (int attempt = 0; attempt < MOST_ATTEMPTS; attempt++) {
            List<String> addresses = book.addresses(order.stream().service());
            Attempt outcome = attempt(order, addresses.get(attempt % addresses.size()));
            last = outcome.result();
            if (!outcome.again()) {
                return last;
            }
            Thread.sleep(DEFAULT_PAUSE_MILLIS << Math.min(attempt, 4));
        }
        return last;
    }

    /** What came of one attempt, and whether another one is safe. */
    private record Attempt(Result result, boolean again) {}

    private Attempt attempt(Order order, String address) {
        try {
            AggregatedHttpResponse answer =
                    client.execute(requestOf(order, address)).aggregate().join();
            return read(order, answer);
        } catch (CompletionException e) {
            return readFailure(e.getCause() == null ? e : e.getCause());
        }
    }

    private static HttpRequest requestOf(Order order, String address) {
        CallStream stream = order.stream();
        String path = stream.path() + "/" + order.number();
        RequestHeadersBuilder headers = RequestHeaders.builder(
                        HttpMethod.valueOf(stream.method()), "http://" + address + "/s/" + stream.service() + path)
                .add("x-run-id", order.runId())
                .add("anvilpick-tenant", stream.tenant());
        if (!stream.isWrite()) {
            return HttpRequest.of(headers.build());
        }
        headers.add("idempotency-key", order.runId());
        return HttpRequest.of(headers.build(), HttpData.ofUtf8("amount of " + order.number()));
    }

    private static Attempt read(Order order, AggregatedHttpResponse answer) {
        String error = answer.headers().get("anvilpick-error");
        if (error == null) {
            boolean own = answer.contentUtf8().contains(" " + order.runId() + " ");
            return new Attempt(own ? new Result.Answered() : new Result.Cut("another's answer"), false);
        }
        String resend = answer.headers().get("anvilpick-resend", "never");
        String outcome = answer.headers().get("anvilpick-outcome", "unknown");
        Result result = outcome.equals("not_run") ? new Result.NotRun(error) : new Result.Unknown(error);
        return new Attempt(result, !resend.equals("never"));
    }

    private static Attempt readFailure(Throwable cause) {
        if (cause instanceof UnprocessedRequestException) {
            return new Attempt(new Result.NotRun("no_connection"), true);
        }
        if (cause instanceof ResponseTimeoutException) {
            return new Attempt(new Result.Unknown("caller_timeout"), false);
        }
        return new Attempt(new Result.Cut(cause.toString()), false);
    }

    /** Returns a client whose callers wait no longer than their patience. */
    static WebClient newClient(ClientFactory factory) {
        return WebClient.builder().factory(factory).responseTimeout(PATIENCE).build();
    }
}
