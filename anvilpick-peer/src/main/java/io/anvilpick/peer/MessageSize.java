package io.anvilpick.peer;

import io.anvilpick.messages.PeerReply;
import io.anvilpick.messages.PeerRequest;

/** Sizes of messages on the wire, for measurements. */
public final class MessageSize {
    private MessageSize() {}

    /** Returns the bytes that {@code request} takes, without the length before it. */
    public static int of(PeerRequest request) {
        return PeerCodec.encode(Long.MAX_VALUE, request).getSerializedSize();
    }

    /** Returns the bytes that {@code reply} takes, without the length before it. */
    public static int of(PeerReply reply) {
        return PeerCodec.encode(Long.MAX_VALUE, reply).getSerializedSize();
    }
}
