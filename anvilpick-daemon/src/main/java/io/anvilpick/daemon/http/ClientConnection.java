package io.anvilpick.daemon.http;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableListMultimap;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpContentException;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * A connection to a server, which carries one call at a time. Its state is confined to the thread of its channel.
 *
 * <p>A response that no call waits for closes the connection.
 */
final class ClientConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
    /** Idle time after which a connection is not reused, because the server may be about to close it. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(10);

    /** Number of interim responses to one call after which the connection is closed. */
    private static final int MAX_INTERIM_RESPONSES = 8;

    private final HttpServerClient client;
    private final Channel channel;
    private final TimeSource time;
    private @Nullable PendingCall current;
    private int interimResponses;
    private volatile Deadline idleDeadline;

    ClientConnection(HttpServerClient client, Channel channel, TimeSource time) {
        this.client = client;
        this.channel = channel;
        this.time = time;
        this.idleDeadline = Deadline.after(time, IDLE_TIMEOUT);
    }

    /** Returns whether the connection may carry another call. */
    boolean isUsable() {
        return channel.isActive() && !idleDeadline.hasPassed(time);
    }

    void close() {
        channel.close();
    }

    /** Closes the connection if it still carries {@code call}. */
    void cancel(PendingCall call) {
        channel.eventLoop().execute(() -> {
            if (current == call) {
                fail("aborted");
            }
        });
    }

    /** Sends {@code next} on the thread of the channel, or on another connection if this one has closed meanwhile. */
    void send(PendingCall next) {
        channel.eventLoop().execute(() -> {
            if (channel.isActive()) {
                start(next);
            } else {
                client.dispatch(next);
            }
        });
    }

    private void start(PendingCall next) {
        next.setConnection(this);
        if (next.isDone()) {
            client.release(this);
            return;
        }
        current = next;
        interimResponses = 0;
        channel.writeAndFlush(requestOf(next.call())).addListener(written -> {
            if (!written.isSuccess()) {
                fail("write failed");
            }
        });
    }

    private FullHttpRequest requestOf(ServerCall call) {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(call.method()),
                call.pathAndQuery(),
                Unpooled.wrappedBuffer(call.body()));
        request.headers().set(HttpHeaderNames.HOST, client.authority());
        if (call.body().length > 0) {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        }
        if (!HttpMethod.GET.equals(request.method())) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
        }
        return request;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
        if (current == null) {
            close();
            return;
        }
        if (response.decoderResult().isFailure()) {
            fail(StrictResponseDecoder.reasonOf(response.decoderResult()));
            return;
        }
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            interimResponses++;
            if (interimResponses > MAX_INTERIM_RESPONSES) {
                fail("too many interim responses");
            }
            return;
        }
        PendingCall ended = end();
        if (HttpUtil.isKeepAlive(response)) {
            idleDeadline = Deadline.after(time, IDLE_TIMEOUT);
            client.release(this);
        } else {
            close();
        }
        if (ended != null) {
            ended.complete(new ServerReply.Answered(
                    response.status().code(), headersOf(response), ByteBufUtil.getBytes(response.content())));
        }
    }

    private static ImmutableListMultimap<String, String> headersOf(FullHttpResponse response) {
        ImmutableListMultimap.Builder<String, String> headers = ImmutableListMultimap.builder();
        response.headers().forEach(header -> headers.put(Ascii.toLowerCase(header.getKey()), header.getValue()));
        return headers.build();
    }

    private void fail(String reason) {
        endWith(new ServerReply.Lost(reason));
    }

    private void endWith(ServerReply reply) {
        PendingCall ended = end();
        close();
        if (ended != null) {
            ended.complete(reply);
        }
    }

    /** Returns the call that the connection carried, if any, and marks the connection as idle. */
    private @Nullable PendingCall end() {
        PendingCall ended = current;
        current = null;
        return ended;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        client.remove(this);
        fail("connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        endWith(
                cause instanceof TooLongHttpContentException
                        ? new ServerReply.TooLarge()
                        : new ServerReply.Lost(cause.getClass().getSimpleName()));
    }
}
