package io.anvilpick.daemon.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.linecorp.armeria.common.AggregatedHttpRequest;
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
import org.jboss.logging.Logger;

/** Takes callers' requests of any host and path and runs each on a thread of its own. Thread safe. */
final class EntryService implements HttpService {
    private static final Logger LOG = Logger.getLogger(EntryService.class);
    private static final Duration LONGEST_WAIT = Duration.ofMinutes(10);
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

    private final EntryRunner calls;
    private final TargetHeaders names;
    private final ExecutorService threads;
    private final TimeSource time;
    private final Shutdown shutdown;
    private final HeldBytes bodies;

    EntryService(
            EntryRunner calls,
            TargetHeaders names,
            ExecutorService threads,
            TimeSource time,
            Shutdown shutdown,
            HeldBytes bodies) {
        this.calls = calls;
        this.names = names;
        this.threads = threads;
        this.time = time;
        this.shutdown = shutdown;
        this.bodies = bodies;
    }

    @Override
    public HttpResponse serve(ServiceRequestContext context, HttpRequest request) {
        long arrivedNanos = time.nanos();
        if (!shutdown.begin()) {
            return EntryAnswers.of(ErrorKind.SHUTTING_DOWN, "this daemon is shutting down", true);
        }
        context.log().whenComplete().thenRun(shutdown::end);
        long stated = Math.max(0, request.headers().contentLength());
        if (!bodies.tryHold(stated)) {
            return EntryAnswers.of(
                    ErrorKind.OVERLOADED, "this daemon holds as many bytes of bodies as it may", shutdown.isLeaving());
        }
        context.log().whenComplete().thenRun(() -> bodies.release(stated));
        CompletableFuture<HttpResponse> response = new CompletableFuture<>();
        request.aggregate().handle((whole, failure) -> {
            if (failure != null) {
                response.complete(EntryAnswers.of(
                        ErrorKind.BODY_TOO_LARGE, "body: is too large or was cut off", shutdown.isLeaving()));
                return null;
            }
            Future<?> running = threads.submit(() -> response.complete(answer(context, whole, arrivedNanos)));
            cancelWhenClosed(context, running);
            return null;
        });
        return HttpResponse.of(response);
    }

    /** Armeria tells of a closed HTTP/1 connection a second late; the channel does at once. */
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

    private HttpResponse answer(ServiceRequestContext context, AggregatedHttpRequest whole, long arrivedNanos) {
        try {
            return answerOf(calls.run(requestOf(context, whole, arrivedNanos)));
        } catch (CallException e) {
            return EntryAnswers.of(e.kind(), String.valueOf(e.getMessage()), shutdown.isLeaving());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return EntryAnswers.of(ErrorKind.CONNECTION_LOST, "the caller went away", true);
        } catch (RuntimeException e) {
            LOG.errorf(e, "event=request_fault path=%s error=%s", context.path(), e);
            return EntryAnswers.of(ErrorKind.INTERNAL, "a fault in the daemon", shutdown.isLeaving());
        }
    }

    private EntryRequest requestOf(ServiceRequestContext context, AggregatedHttpRequest whole, long arrivedNanos)
            throws CallException {
        RequestHeaders headers = whole.headers();
        String authority = Optional.ofNullable(headers.authority()).orElse("");
        return new EntryRequest(
                headers.get(names.requestId(), ""),
                hostOf(authority),
                whole.method().name(),
                context.rawPath(),
                passedOn(headers, authority),
                whole.content().array(),
                arrivedNanos,
                new Deadline(arrivedNanos + waitOf(headers).toNanos()));
    }

    private Duration waitOf(RequestHeaders headers) throws CallException {
        String value = headers.get(names.remainingMillis());
        if (value == null) {
            return LONGEST_WAIT;
        }
        try {
            return Duration.ofMillis(Math.clamp(Long.parseLong(value.trim()), 0, LONGEST_WAIT.toMillis()));
        } catch (NumberFormatException e) {
            throw new CallException(
                    ErrorKind.INVALID_REQUEST, names.remainingMillis() + ": '" + value + "': must be a whole number");
        }
    }

    private static String hostOf(String authority) {
        int colon = authority.lastIndexOf(':');
        boolean port = colon > 0 && authority.indexOf(']', colon) < 0;
        return port ? authority.substring(0, colon) : authority;
    }

    private static ImmutableList<Header> passedOn(RequestHeaders headers, String authority) {
        ImmutableList.Builder<Header> passedOn = ImmutableList.builder();
        passedOn.add(new Header("host", authority));
        for (Map.Entry<AsciiString, String> entry : headers) {
            AsciiString name = entry.getKey();
            if (name.charAt(0) != ':' && !CONNECTION_HEADERS.contains(name)) {
                passedOn.add(new Header(name.toString(), entry.getValue()));
            }
        }
        return passedOn.build();
    }

    private HttpResponse answerOf(CallAnswer answer) {
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
