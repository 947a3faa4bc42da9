package io.anvilpick.daemon.target.connections;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * A decoder of answers. An answer to a HEAD request has no body, whatever its headers say. Confined to the thread of its channel.
 */
final class AnswerDecoder extends HttpResponseDecoder {
    private static final String HEAD = "HEAD";

    private boolean isHeadRequest;

    /** Sets the method of the request whose answer comes next. */
    void expectAnswerTo(String method) {
        isHeadRequest = method.equals(HEAD);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return isHeadRequest || super.isContentAlwaysEmpty(message);
    }
}
