package io.anvilpick.calls;

import io.anvilpick.config.TargetConfig;
import java.util.concurrent.CompletableFuture;

/** A client that sends calls to targets. Implementations are thread safe. */
public interface TargetClient {
    /** Sends {@code request} to {@code target}. The deadline of the request limits the whole exchange. */
    Exchange send(TargetConfig target, CallRequest request);

    /** Returns whether a process listens at the target's address. Does not send a call to the target. */
    CompletableFuture<Boolean> isListening(TargetConfig target);
}
