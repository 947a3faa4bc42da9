package io.anvilpick.calls;

import io.anvilpick.config.TargetConfig;
import java.util.concurrent.CompletableFuture;

/** The port to targets. Implementations are thread safe. */
public interface TargetClient {
    /** Sends {@code request}, whose deadline holds for the whole exchange. */
    Exchange send(TargetConfig target, CallRequest request);

    /** Finds out whether anything listens at the target's address; costs no call of the target. */
    CompletableFuture<Boolean> isListening(TargetConfig target);
}
