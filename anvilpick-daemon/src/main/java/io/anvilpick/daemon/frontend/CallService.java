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

/** Serves callers' HTTP requests under {@code /s/SERVICE/}, each on a separate thread. Thread safe. */
final class CallService implements HttpService {
    private static final Logger LOG = Logger.getLogger(CallService.class);
    private static final long DEFAULT_TIMEOUT_MILLIS = 30_000;
    private static final long MAX_TIMEOUT_MILLIS = 600_000;
    private static final int MAX_KEY_CHARACTERS = 255;
    private static final String ANONYMOUS_TENANT = "anonymous";

    private final CallRunner runner;
    private final ExecutorService executor;
    private final TimeSource time;
    private final LeavingState leavingState;
    private final HeldBytes heldBytes;

    CallService(
            CallRunner runner,
            ExecutorService executor,
            TimeSource time,
            LeavingState leavingState,
            HeldBytes heldBytes) {
        this.runner = runner;
        this.executor = executor;
        this.time = time;
        this.leavingState = leavingState;
        this.heldBytes = heldBytes;
    }

    @Override
    public HttpResponse serve(ServiceRequestContext context, HttpRequest request) {
        long arrivedNanos = time.nanos();
        long declaredBytes = Math.max(0, request.headers().contentLength());
        if (!heldBytes.tryHold(declaredBytes)) {
            return ErrorAnswers.of(ErrorKind.OVERLOADED, "this daemon holds as many bytes of bodies as it may");
        }
        releaseOnCompletion(context, declaredBytes);
        CompletableFuture<HttpResponse> response = new CompletableFuture<>();
        request.aggregate().handle((aggregated, failure) -> {
            if (failure != null) {
                response.complete(ErrorAnswers.of(ErrorKind.BODY_TOO_LARGE, "body: is too large or was cut off"));
                return null;
            }
            holdUntilComplete(context, Math.max(0, aggregated.content().length() - declaredBytes));
            submit(context, aggregated, arrivedNanos, response);
            return null;
        });
        return HttpResponse.of(response);
    }

    private void holdUntilComplete(ServiceRequestContext context, long bytes) {
        heldBytes.hold(bytes);
        releaseOnCompletion(context, bytes);
    }

    /**
     * Releases {@code bytes} once the caller has received the answer or disconnected. Bodies of slow callers are
     * therefore counted too.
     */
    private void releaseOnCompletion(ServiceRequestContext context, long bytes) {
        if (bytes == 0) {
            return;
        }
        context.log().whenComplete().thenRun(() -> heldBytes.release(bytes));
    }

    private void submit(
            ServiceRequestContext context,
            AggregatedHttpRequest aggregated,
            long arrivedNanos,
            CompletableFuture<HttpResponse> response) {
        try {
            Future<?> task = executor.submit(() -> response.complete(answer(context, aggregated, arrivedNanos)));
            context.whenRequestCancelling().thenAccept(cause -> task.cancel(true));
        } catch (RejectedExecutionException e) {
            response.complete(ErrorAnswers.of(ErrorKind.SHUTTING_DOWN, "this daemon is shutting down"));
        }
    }

    private HttpResponse answer(ServiceRequestContext context, AggregatedHttpRequest aggregated, long arrivedNanos) {
        try {
            CallAnswer answer = runner.run(callOf(context, aggregated, arrivedNanos));
            holdUntilComplete(context, answer.body().length);
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

    private CallRequest callOf(ServiceRequestContext context, AggregatedHttpRequest aggregated, long arrivedNanos)
            throws CallException {
        RequestHeaders headers = aggregated.headers();
        long timeoutMillis =
                wholeNumber(headers, HeaderNames.TIMEOUT_MILLIS, DEFAULT_TIMEOUT_MILLIS, MAX_TIMEOUT_MILLIS);
        long attempt = wholeNumber(headers, HeaderNames.ATTEMPT, 0, Integer.MAX_VALUE);
        String service = context.pathParam("service");
        String prefix = "/s/" + service;
        return new CallRequest(
                service == null ? "" : service,
                headers.get(HeaderNames.TENANT, ANONYMOUS_TENANT),
                aggregated.method().name(),
                aggregated
                        .path()
                        .substring(Math.min(prefix.length(), aggregated.path().length())),
                HeaderNames.forwarded(headers),
                aggregated.content().array(),
                keyOf(headers),
                new Deadline(arrivedNanos + Duration.ofMillis(timeoutMillis).toNanos()),
                (int) attempt);
    }

    private static Optional<String> keyOf(RequestHeaders headers) throws CallException {
        String key = headers.get(HeaderNames.IDEMPOTENCY_KEY);
        if (key == null) {
            return Optional.empty();
        }
        if (key.isBlank() || key.length() > MAX_KEY_CHARACTERS) {
            throw new CallException(
                    ErrorKind.INVALID_REQUEST,
                    HeaderNames.IDEMPOTENCY_KEY + ": must have 1 to " + MAX_KEY_CHARACTERS + " characters");
        }
        return Optional.of(key);
    }

    private static long wholeNumber(RequestHeaders headers, String name, long defaultValue, long max)
            throws CallException {
        String value = headers.get(name);
        if (value == null) {
            return defaultValue;
        }
        try {
            long number = Long.parseLong(value);
            if (number >= 0 && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Handled below, like a number out of range.
        }
        throw new CallException(
                ErrorKind.INVALID_REQUEST, name + ": '" + value + "': must be a whole number from 0 to " + max);
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
        leavingState.addCloseHeaderIfLeaving(headers);
        return HttpResponse.of(headers.build(), HttpData.wrap(answer.body()));
    }
}
