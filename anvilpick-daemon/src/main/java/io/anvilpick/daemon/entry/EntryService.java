package io.anvilpick.daemon.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import com.linecorp.armeria.common.logging.RequestLogProperty;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import io.anvilpick.calls.CallAnswer;
import io.anvilpick.calls.Header;
import io.anvilpick.daemon.target.connections.TargetHeaders;
import io.anvilpick.entry.EntryRequest;
import io.anvilpick.entry.EntryRunner;
import io.anvilpick.error.CallException;
import io.anvilpick.error.ErrorKind;
import io.anvilpick.limits.HeldBytes;
import io.anvilpick.tenants.Credential;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.util.AsciiString;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;

/** Accepts requests for any host and path, and runs each on a new thread. Thread safe. */
final class EntryService implements HttpService {
    private static final Logger LOG = Logger.getLogger(EntryService.class);
    private static final Duration MAX_TIMEOUT = Duration.ofMinutes(10);

    /** Time to read the response to a request whose body is not read to its end. The close may reset the connection. */
    private static final Duration UNREAD_BODY_GRACE = Duration.ofMillis(500);

    private static final ImmutableSet<AsciiString> CONNECTION_HEADERS = ImmutableSet.of(
            HttpHeaderNames.CONNECTION,
            HttpHeaderNames.KEEP_ALIVE,
            HttpHeaderNames.of("proxy-connection"),
            HttpHeaderNames.PROXY_AUTHORIZATION,
            HttpHeaderNames.TE,
            HttpHeaderNames.TRAILER,
            HttpHeaderNames.TRANSFER_ENCODING,
            HttpHeaderNames.UPGRADE,
            HttpHeaderNames.EXPECT,
            HttpHeaderNames.HOST,
            HttpHeaderNames.CONTENT_LENGTH);

    private final EntryRunner runner;
    private final TargetHeaders names;
    private final ExecutorService executor;
    private final TimeSource time;
    private final Shutdown shutdown;
    private final HeldBytes heldBodies;

    EntryService(
            EntryRunner runner,
            TargetHeaders names,
            ExecutorService executor,
            TimeSource time,
            Shutdown shutdown,
            HeldBytes heldBodies) {
        this.runner = runner;
        this.names = names;
        this.executor = executor;
        this.time = time;
        this.shutdown = shutdown;
        this.heldBodies = heldBodies;
    }

    @Override
    public HttpResponse serve(ServiceRequestContext context, HttpRequest request) {
        long arrivedNanos = time.nanos();
        if (!shutdown.tryBeginRequest()) {
            return shuttingDown();
        }
        context.log().whenComplete().thenRun(shutdown::endRequest);
        RequestBodyBytes bytes = new RequestBodyBytes(heldBodies);
        if (!bytes.tryHoldDeclared(Math.max(0, request.headers().contentLength()))) {
            return bodyRejection(bytes, shutdown.isLeaving());
        }
        context.log().whenComplete().thenRun(bytes::release);
        CompletableFuture<HttpResponse> response = new CompletableFuture<>();
        RequestBodyReader.read(request, bytes, context.eventLoop()).handle((body, failure) -> {
            if (failure != null) {
                closeAfterResponse(context);
                response.complete(bodyRejection(bytes, true));
                return null;
            }
            Future<?> running = executor.submit(
                    () -> response.complete(runRequest(context, request.headers(), body, arrivedNanos)));
            cancelWhenClosed(context, running);
            return null;
        });
        return HttpResponse.of(response);
    }

    private static HttpResponse shuttingDown() {
        return EntryErrorAnswers.of(ErrorKind.SHUTTING_DOWN, "this daemon is shutting down", true);
    }

    /**
     * Returns the rejection of a request whose body has not been read to its end.
     *
     * @param close whether to close the connection, because what is left of the body may have no end
     */
    private static HttpResponse bodyRejection(RequestBodyBytes bytes, boolean close) {
        return bytes.exceedsBound()
                ? EntryErrorAnswers.of(
                        ErrorKind.OVERLOADED, "this daemon holds as many bytes of bodies as it may", close)
                : EntryErrorAnswers.of(ErrorKind.BODY_TOO_LARGE, "body: is too large or was cut off", close);
    }

    /**
     * Closes the connection a moment after the response has been sent, whether or not the caller has stopped sending its body.
     */
    private static void closeAfterResponse(ServiceRequestContext context) {
        context.log().whenAvailable(RequestLogProperty.RESPONSE_END_TIME).thenAccept(log -> {
            Channel channel = log.channel();
            if (channel != null) {
                channel.eventLoop()
                        .schedule(() -> channel.close(), UNREAD_BODY_GRACE.toMillis(), TimeUnit.MILLISECONDS);
            }
        });
    }

    /**
     * Interrupts the request when its connection closes. Listens on the channel, which reports the close at once. Armeria reports
     * a closed HTTP/1 connection a second late.
     */
    private static void cancelWhenClosed(ServiceRequestContext context, Future<?> running) {
        context.log().whenAvailable(RequestLogProperty.SESSION).thenAccept(log -> {
            Channel channel = log.channel();
            if (channel == null) {
                return;
            }
            ChannelFutureListener cancel = closed -> running.cancel(true);
            channel.closeFuture().addListener(cancel);
            context.log().whenComplete().thenRun(() -> channel.closeFuture().removeListener(cancel));
        });
    }

    private HttpResponse runRequest(
            ServiceRequestContext context, RequestHeaders headers, byte[] body, long arrivedNanos) {
        if (!shutdown.mayStart()) {
            return shuttingDown();
        }
        try {
            CallAnswer answer = runner.run(requestOf(context, headers, body, arrivedNanos));
            holdUntilSent(context, answer);
            return responseOf(answer);
        } catch (CallException e) {
            return EntryErrorAnswers.of(e.kind(), String.valueOf(e.getMessage()), e.retryAfter(), shutdown.isLeaving());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return EntryErrorAnswers.of(ErrorKind.CONNECTION_LOST, "the caller went away", true);
        } catch (RuntimeException | Error e) {
            LOG.errorf(e, "event=request_fault path=%s error=%s", context.path(), e);
            return EntryErrorAnswers.of(ErrorKind.INTERNAL, "a fault in the daemon", shutdown.isLeaving());
        }
    }

    /** Counts the answer's bytes until they are sent. An answer is never rejected, because its request has run. */
    private void holdUntilSent(ServiceRequestContext context, CallAnswer answer) {
        long bytes = answer.body().length;
        heldBodies.hold(bytes);
        context.log().whenComplete().thenRun(() -> heldBodies.release(bytes));
    }

    private EntryRequest requestOf(
            ServiceRequestContext context, RequestHeaders headers, byte[] body, long arrivedNanos)
            throws CallException {
        String authority = Optional.ofNullable(headers.authority()).orElse("");
        return new EntryRequest(
                headers.get(names.requestId(), ""),
                hostOf(authority),
                headers.method().name(),
                context.rawPath(),
                forwardedHeaders(headers, authority),
                body,
                arrivedNanos,
                new Deadline(arrivedNanos + timeoutOf(headers).toNanos()),
                credentialOf(headers));
    }

    private Optional<Credential> credentialOf(RequestHeaders headers) {
        String key = headers.get(names.tenants().credential(), "");
        return key.isEmpty() ? Optional.empty() : Optional.of(new Credential(key));
    }

    private Duration timeoutOf(RequestHeaders headers) throws CallException {
        String value = headers.get(names.remainingMillis());
        if (value == null) {
            return MAX_TIMEOUT;
        }
        try {
            return Duration.ofMillis(Math.clamp(Long.parseLong(value.trim()), 0, MAX_TIMEOUT.toMillis()));
        } catch (NumberFormatException e) {
            throw new CallException(
                    ErrorKind.INVALID_REQUEST, names.remainingMillis() + ": '" + value + "': must be a whole number");
        }
    }

    private static String hostOf(String authority) {
        int colon = authority.lastIndexOf(':');
        boolean hasPort = colon > 0 && authority.indexOf(']', colon) < 0;
        return hasPort ? authority.substring(0, colon) : authority;
    }

    private ImmutableList<Header> forwardedHeaders(RequestHeaders headers, String authority) {
        ImmutableList.Builder<Header> forwardedHeaders = ImmutableList.builder();
        forwardedHeaders.add(new Header("host", authority));
        for (Map.Entry<AsciiString, String> entry : headers) {
            AsciiString name = entry.getKey();
            boolean isCredential = name.contentEqualsIgnoreCase(names.tenants().credential());
            if (name.charAt(0) != ':' && !isCredential && !CONNECTION_HEADERS.contains(name)) {
                forwardedHeaders.add(new Header(name.toString(), entry.getValue()));
            }
        }
        return forwardedHeaders.build();
    }

    private HttpResponse responseOf(CallAnswer answer) {
        ResponseHeadersBuilder headers = ResponseHeaders.builder(HttpStatus.valueOf(answer.status()));
        for (Header header : answer.headers()) {
            headers.add(header.name(), header.value());
        }
        if (shutdown.isLeaving()) {
            headers.set(HttpHeaderNames.CONNECTION, "close");
        }
        return HttpResponse.of(headers.build(), HttpData.wrap(answer.body()));
    }
}
