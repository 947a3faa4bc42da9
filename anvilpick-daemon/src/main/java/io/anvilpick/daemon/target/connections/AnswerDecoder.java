package io.anvilpick.daemon.target.connections;

import io.anvilpick.daemon.http.StrictResponseDecoder;
import io.netty.channel.ChannelHandlerContext;
import io.netty.util.ReferenceCountUtil;
import org.jboss.logging.Logger;

/**
 * A decoder of answers. An answer to a HEAD request has no body, whatever its headers say. Bytes that arrive while no answer is
 * expected belong to no request and close the connection. Confined to the thread of its channel.
 */
final class AnswerDecoder extends StrictResponseDecoder {
    private static final Logger LOG = Logger.getLogger(AnswerDecoder.class);
    private static final String HEAD = "HEAD";

    private boolean isHeadRequest;
    private boolean isAnswerExpected;

    /** Sets the method of the request whose answer comes next. */
    void expectAnswerTo(String method) {
        isHeadRequest = method.equals(HEAD);
        isAnswerExpected = true;
    }

    /** Ends the wait for an answer. Returns whether no byte has arrived behind it so far. */
    boolean endAnswer() {
        isAnswerExpected = false;
        return actualReadableBytes() == 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (isAnswerExpected) {
            super.channelRead(context, message);
            return;
        }
        ReferenceCountUtil.release(message);
        LOG.debugf("event=extra_bytes target=%s", context.channel().remoteAddress());
        context.close();
    }

    @Override
    protected boolean isBodyOmitted() {
        return isHeadRequest;
    }
}
