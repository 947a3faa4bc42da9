package io.anvilpick.calls;

import java.util.concurrent.CompletableFuture;

/** A call in flight to a target. Thread safe. */
public interface Exchange {
    /** Returns a future that completes with the reply and never completes exceptionally. */
    CompletableFuture<TargetReply> reply();

    /** Cancels the exchange at the target. Does nothing if the reply is complete. */
    void cancel();
}
