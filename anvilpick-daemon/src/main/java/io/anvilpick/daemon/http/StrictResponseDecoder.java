package io.anvilpick.daemon.http;

import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.util.Optional;

/**
 * A decoder of responses that rejects heads which {@link ResponseHeadRules} call invalid. Such a head becomes a message with a failed
 * decoder result, and nothing behind it is decoded. Confined to the thread of its channel.
 */
public class StrictResponseDecoder extends HttpResponseDecoder {
    private static final String UNREADABLE = "unreadable head or body";

    private int contentLengths;

    /** Creates a decoder with Netty's bounds of lines and heads. */
    public StrictResponseDecoder() {}

    /** Returns the reason for a failed decoder result, without anything that the server sent. */
    public static String reasonOf(DecoderResult failure) {
        return failure.cause() instanceof InvalidHeadException invalid
                ? "invalid " + invalid.part().label()
                : UNREADABLE;
    }

    @Override
    protected final HttpMessage createMessage(String[] statusLine) {
        contentLengths = 0;
        throwIfInvalid(ResponseHeadRules.checkStatusLine(statusLine[0], statusLine[1]));
        return super.createMessage(statusLine);
    }

    /** Counts the lengths, because Netty replaces several of them by one. */
    @Override
    protected final AsciiString splitHeaderName(byte[] bytes, int start, int length) {
        AsciiString name = super.splitHeaderName(bytes, start, length);
        if (HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name)) {
            contentLengths++;
        }
        return name;
    }

    /** Also checks the framing: this is the first step after the headers and precedes every change that Netty makes to them. */
    @Override
    protected final boolean isContentAlwaysEmpty(HttpMessage message) {
        throwIfInvalid(ResponseHeadRules.checkFraming(
                message.protocolVersion().text(),
                contentLengths,
                message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)));
        return isBodyOmitted() || super.isContentAlwaysEmpty(message);
    }

    /** Returns whether the next response has no body, whatever its head states, because of its request. */
    protected boolean isBodyOmitted() {
        return false;
    }

    private static void throwIfInvalid(Optional<InvalidPart> part) {
        if (part.isPresent()) {
            throw new InvalidHeadException(part.get());
        }
    }
}
