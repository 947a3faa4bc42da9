package io.anvilpick.messages;

/** Handles requests from other daemons. Implementations are thread safe and do not block. */
@FunctionalInterface
public interface PeerHandler {
    /** Returns the reply to {@code request}. */
    PeerReply handle(PeerRequest request);
}
