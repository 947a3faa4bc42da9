package io.anvilpick.calls;

import io.anvilpick.config.TargetConfig;
import java.util.concurrent.CompletableFuture;

/** A client that probes targets for their load. Implementations are thread safe. */
public interface ProbeClient {
    /** Requests the load of {@code target} at {@code path}. The returned future never completes exceptionally. */
    CompletableFuture<ProbeReply> probe(TargetConfig target, String path);
}
