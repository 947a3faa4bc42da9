package io.anvilpick.peer;

import io.anvilpick.messages.PeerReply;
import io.anvilpick.messages.PeerRequest;

/** Computes the encoded sizes of messages, for measurements. */
public final class MessageSize {
    private MessageSize() {}

    /** Returns the encoded size of {@code request} with the largest request ID, in bytes without the length prefix. */
    public static int of(PeerRequest request) {
        return PeerCodec.encode(Long.MAX_VALUE, request).getSerializedSize();
    }

    /** Returns the encoded size of {@code reply} with the largest request ID, in bytes without the length prefix. */
    public static int of(PeerReply reply) {
        return PeerCodec.encode(Long.MAX_VALUE, reply).getSerializedSize();
    }
}
