package io.anvilpick.daemon.frontend;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import io.anvilpick.calls.CallAnswer;
import io.anvilpick.calls.CallRequest;
import io.anvilpick.calls.CallRunner;
import io.anvilpick.calls.Header;
import io.anvilpick.error.CallException;
import io.anvilpick.error.ErrorKind;
import io.anvilpick.limits.HeldBytes;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import org.jboss.logging.Logger;

/** Takes callers' HTTP requests under {@code /s/SERVICE/} and runs each on a thread of its own. Thread safe. */
final class CallService implements HttpService {
    private static final Logger LOG = Logger.getLogger(CallService.class);
    private static final long DEFAULT_TIMEOUT_MILLIS = 30_000;
    private static final long MOST_TIMEOUT_MILLIS = 600_000;
    private static final int MOST_KEY_CHARACTERS = 255;
    private static final String ANONYMOUS_TENANT = "anonymous";

    private final CallRunner runner;
    private final ExecutorService threads;
    private final TimeSource time;
    private final Connections connections;
    private final HeldBytes bodies;

    CallService(
            CallRunner runner, ExecutorService threads, TimeSource time, Connections connections, HeldBytes bodies) {
        this.runner = runner;
        this.threads = threads;
        this.time = time;
        this.connections = connections;
        this.bodies = bodies;
    }

    @Override
    public HttpResponse serve(ServiceRequestContext context, HttpRequest request) {
        long arrivedNanos = time.nanos();
        long stated = Math.max(0, request.headers().contentLength());
        if (!bodies.tryHold(stated)) {
            return ErrorAnswers.of(ErrorKind.OVERLOADED, "this daemon holds as many bytes of bodies as it may");
        }
        releaseAtTheEnd(context, stated);
        CompletableFuture<HttpResponse> response = new CompletableFuture<>();
        request.aggregate().handle((whole, failure) -> {
            if (failure != null) {
                response.complete(ErrorAnswers.of(ErrorKind.BODY_TOO_LARGE, "body: is too large or was cut off"));
                return null;
            }
            holdUntilTheEnd(context, Math.max(0, whole.content().length() - stated));
            start(context, whole, arrivedNanos, response);
            return null;
        });
        return HttpResponse.of(response);
    }

    private void holdUntilTheEnd(ServiceRequestContext context, long bytes) {
        bodies.hold(bytes);
        releaseAtTheEnd(context, bytes);
    }

    /** A body counts until the caller has taken the answer or gone away, so that slow callers count too. */
    private void releaseAtTheEnd(ServiceRequestContext context, long bytes) {
        if (bytes == 0) {
            return;
        }
        context.log().whenComplete().thenRun(() -> bodies.release(bytes));
    }

    private void start(
            ServiceRequestContext context,
            AggregatedHttpRequest whole,
            long arrivedNanos,
            CompletableFuture<HttpResponse> response) {
        try {
            Future<?> running = threads.submit(() -> response.complete(answer(context, whole, arrivedNanos)));
            context.whenRequestCancelling().thenAccept(cause -> running.cancel(true));
        } catch (RejectedExecutionException e) {
            response.complete(ErrorAnswers.of(ErrorKind.SHUTTING_DOWN, "this daemon is shutting down"));
        }
    }

    private HttpResponse answer(ServiceRequestContext context, AggregatedHttpRequest whole, long arrivedNanos) {
        try {
            CallAnswer answer = runner.run(callOf(context, whole, arrivedNanos));
            holdUntilTheEnd(context, answer.body().length);
            return answerOf(answer);
        } catch (CallException e) {
            return ErrorAnswers.of(e.kind(), e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ErrorAnswers.of(ErrorKind.CONNECTION_LOST, "the caller went away");
        } catch (RuntimeException e) {
            LOG.errorf(e, "event=call_failed path=%s error=%s", context.path(), e);
            return ErrorAnswers.of(ErrorKind.INTERNAL, "a fault in the daemon");
        }
    }

    private CallRequest callOf(ServiceRequestContext context, AggregatedHttpRequest whole, long arrivedNanos)
            throws CallException {
        RequestHeaders headers = whole.headers();
        long timeoutMillis =
                wholeNumber(headers, HeaderNames.TIMEOUT_MILLIS, DEFAULT_TIMEOUT_MILLIS, MOST_TIMEOUT_MILLIS);
        long attempt = wholeNumber(headers, HeaderNames.ATTEMPT, 0, Integer.MAX_VALUE);
        String service = context.pathParam("service");
        String prefix = "/s/" + service;
        return new CallRequest(
                service == null ? "" : service,
                headers.get(HeaderNames.TENANT, ANONYMOUS_TENANT),
                whole.method().name(),
                whole.path().substring(Math.min(prefix.length(), whole.path().length())),
                HeaderNames.forwarded(headers),
                whole.content().array(),
                keyOf(headers),
                new Deadline(arrivedNanos + Duration.ofMillis(timeoutMillis).toNanos()),
                (int) attempt);
    }

    private static Optional<String> keyOf(RequestHeaders headers) throws CallException {
        String key = headers.get(HeaderNames.IDEMPOTENCY_KEY);
        if (key == null) {
            return Optional.empty();
        }
        if (key.isBlank() || key.length() > MOST_KEY_CHARACTERS) {
            throw new CallException(
                    ErrorKind.INVALID_REQUEST,
                    HeaderNames.IDEMPOTENCY_KEY + ": must have 1 to " + MOST_KEY_CHARACTERS + " characters");
        }
        return Optional.of(key);
    }

    private static long wholeNumber(RequestHeaders headers, String name, long otherwise, long most)
            throws CallException {
        String value = headers.get(name);
        if (value == null) {
            return otherwise;
        }
        try {
            long number = Long.parseLong(value);
            if (number >= 0 && number <= most) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below, like a number out of range.
        }
        throw new CallException(
                ErrorKind.INVALID_REQUEST, name + ": '" + value + "': must be a whole number from 0 to " + most);
    }

    private HttpResponse answerOf(CallAnswer answer) {
        ResponseHeadersBuilder headers = ResponseHeaders.builder(HttpStatus.valueOf(answer.status()));
        for (Header header : answer.headers()) {
            headers.add(header.name(), header.value());
        }
        headers.set(HeaderNames.OUTCOME, "ran");
        if (answer.replayed()) {
            headers.set(HeaderNames.REPLAYED, "true");
        }
        connections.closeIfLeaving(headers);
        return HttpResponse.of(headers.build(), HttpData.wrap(answer.body()));
    }
}
