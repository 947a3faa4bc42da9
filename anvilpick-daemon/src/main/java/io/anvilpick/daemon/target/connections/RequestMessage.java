package io.anvilpick.daemon.target.connections;

import io.anvilpick.calls.Header;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.TimeUnit;

/** Creates the messages that are sent to targets. */
final class RequestMessage {
    private RequestMessage() {}

    /** Returns the request of {@code exchange}, with its target and the time left to answer it. */
    static FullHttpRequest of(PendingExchange exchange, TargetHeaders names, long remainingNanos) {
        byte[] body = exchange.request().body();
        FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(exchange.request().method()),
                exchange.request().path(),
                Unpooled.wrappedBuffer(body));
        for (Header header : exchange.request().headers()) {
            message.headers().add(header.name(), header.value());
        }
        long millis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(remainingNanos));
        message.headers().set(names.remainingMillis(), Long.toString(millis));
        message.headers().set(names.expectedTarget(), exchange.target().id());
        if (body.length > 0 || !message.method().equals(HttpMethod.GET)) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        return message;
    }
}
