package io.anvilpick.calls;

import java.util.concurrent.CompletableFuture;

/** A call on its way to a target and back. Thread safe. */
public interface Exchange {
    /** Returns the future that completes with the reply, never exceptionally. */
    CompletableFuture<TargetReply> reply();

    /** Tells the target that the answer is no longer wanted; does nothing once a reply is there. */
    void cancel();
}
