package io.anvilpick.daemon.target;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.ClientRequestContext;
import com.linecorp.armeria.client.ClientRequestContextCaptor;
import com.linecorp.armeria.client.Clients;
import com.linecorp.armeria.client.RequestOptions;
import com.linecorp.armeria.client.ResponseTimeoutException;
import com.linecorp.armeria.client.UnprocessedRequestException;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.client.WriteTimeoutException;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.ContentTooLargeException;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaders;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.logging.RequestLogProperty;
import io.anvilpick.calls.CallAnswer;
import io.anvilpick.calls.CallRequest;
import io.anvilpick.calls.Exchange;
import io.anvilpick.calls.Header;
import io.anvilpick.calls.TargetClient;
import io.anvilpick.calls.TargetReply;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.daemon.frontend.HeaderNames;
import io.anvilpick.daemon.http.ResponseHeadRules;
import io.anvilpick.dispatch.LoadReport;
import io.anvilpick.dispatch.TargetNotice;
import io.anvilpick.time.TimeSource;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

/**
 * A client that sends calls to targets with Armeria's HTTP client. Thread safe.
 *
 * <p>An answer whose status is not final ends its call as a lost connection does, and closes its connection. Armeria shows neither the version, the words of
 * the status line nor the framing of an answer, so that those are not checked.
 */
public final class HttpTargetClient implements TargetClient {
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    private final WebClient client;
    private final TimeSource time;
    private final Executor blockingExecutor;

    /**
     * Creates a client.
     *
     * @param factory the event loops and connections to use, closed by its owner
     * @param maxAnswerBytes maximum size of an answer body; a larger one ends in {@link TargetReply.Cut}
     * @param blockingExecutor runs the blocking connection attempts of {@link #isListening}
     */
    public HttpTargetClient(ClientFactory factory, long maxAnswerBytes, TimeSource time, Executor blockingExecutor) {
        this.client = WebClient.builder()
                .factory(factory)
                .maxResponseLength(maxAnswerBytes)
                .build();
        this.time = time;
        this.blockingExecutor = blockingExecutor;
    }

    @Override
    public Exchange send(TargetConfig target, CallRequest request) {
        long remaining = request.deadline().remainingNanos(time.nanos());
        if (remaining <= 0) {
            return new HttpExchange(CompletableFuture.completedFuture(new TargetReply.TimedOut()), null);
        }
        HttpRequest httpRequest = HttpRequest.of(headersOf(target, request, remaining), HttpData.wrap(request.body()));
        try (ClientRequestContextCaptor captor = Clients.newContextCaptor()) {
            HttpResponse response = client.execute(httpRequest, optionsOf(remaining));
            ClientRequestContext context = captor.get();
            CompletableFuture<TargetReply> reply = response.aggregate()
                    .handle((aggregated, failure) ->
                            failure == null ? replyOf(context, aggregated) : failureReplyOf(context, failure));
            return new HttpExchange(reply, response);
        }
    }

    @Override
    public CompletableFuture<Boolean> isListening(TargetConfig target) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try (Socket socket = new Socket()) {
                        socket.connect(new InetSocketAddress(target.host(), target.port()), CONNECT_TIMEOUT_MILLIS);
                        return true;
                    } catch (IOException e) {
                        return false;
                    }
                },
                blockingExecutor);
    }

    private static RequestOptions optionsOf(long remainingNanos) {
        return RequestOptions.builder()
                .responseTimeoutMillis(Math.max(1, TimeUnit.NANOSECONDS.toMillis(remainingNanos)))
                .build();
    }

    private static RequestHeaders headersOf(TargetConfig target, CallRequest request, long remainingNanos) {
        RequestHeadersBuilder headers = RequestHeaders.builder(
                HttpMethod.valueOf(request.method()), "http://" + target.address() + request.path());
        for (Header header : request.headers()) {
            headers.add(header.name(), header.value());
        }
        headers.set(HeaderNames.TIMEOUT_MILLIS, Long.toString(TimeUnit.NANOSECONDS.toMillis(remainingNanos)));
        headers.set(HeaderNames.ATTEMPT, Integer.toString(request.attempt()));
        return headers.build();
    }

    private static TargetReply replyOf(ClientRequestContext context, AggregatedHttpResponse aggregated) {
        int status = aggregated.status().code();
        if (!ResponseHeadRules.isFinalStatus(status)) {
            var unused = context.initiateConnectionShutdown();
            return new TargetReply.Lost("invalid status");
        }
        HttpHeaders headers = aggregated.headers();
        CallAnswer answer = new CallAnswer(
                status, HeaderNames.forwarded(headers), aggregated.content().array(), false);
        return new TargetReply.Answered(
                answer,
                loadOf(headers.get(HeaderNames.IN_FLIGHT, "")),
                headers.get(HeaderNames.OUTCOME, "").equals("not_run"),
                headers.get(HeaderNames.LEAVING, "").equals("true")
                        ? new TargetNotice.Leaving()
                        : new TargetNotice.None());
    }

    private static Optional<LoadReport> loadOf(String value) {
        try {
            return value.isEmpty() ? Optional.empty() : Optional.of(LoadReport.ofInFlight(Integer.parseInt(value)));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static TargetReply failureReplyOf(ClientRequestContext context, Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
        String reason = cause.getClass().getSimpleName();
        if (cause instanceof UnprocessedRequestException) {
            return new TargetReply.NotSent(reason);
        }
        if (cause instanceof ResponseTimeoutException || cause instanceof WriteTimeoutException) {
            return new TargetReply.TimedOut();
        }
        if (cause instanceof ContentTooLargeException) {
            return new TargetReply.Cut("answer too large");
        }
        if (cause instanceof CancelledByDaemonException) {
            return new TargetReply.Cancelled();
        }
        boolean headersReceived = context.log().isAvailable(RequestLogProperty.RESPONSE_HEADERS);
        return headersReceived ? new TargetReply.Cut(reason) : new TargetReply.Lost(reason);
    }
}
