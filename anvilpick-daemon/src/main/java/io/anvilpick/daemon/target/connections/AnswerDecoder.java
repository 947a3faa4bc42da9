package io.anvilpick.daemon.target.connections;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes answers; those to HEAD have no body whatever their headers say. Confined to the thread of its channel. */
final class AnswerDecoder extends HttpResponseDecoder {
    private static final String HEAD = "HEAD";

    private boolean head;

    void awaitAnswerTo(String method) {
        head = method.equals(HEAD);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return head || super.isContentAlwaysEmpty(message);
    }
}
