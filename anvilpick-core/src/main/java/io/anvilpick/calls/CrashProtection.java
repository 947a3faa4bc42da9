package io.anvilpick.calls;

import io.anvilpick.config.TargetConfig;
import io.anvilpick.error.CallException;
import java.util.concurrent.CompletableFuture;

/** Protection against requests that repeatedly crash targets. Implementations are thread safe. */
public interface CrashProtection {
    /**
     * Blocks until {@code request} may run.
     *
     * @throws CallException if the request is blocked
     */
    void awaitPermission(CallRequest request) throws CallException, InterruptedException;

    /**
     * Records that the connection was lost while {@code target} ran {@code request}.
     *
     * @return a future that completes once it is known whether the target crashed; the caller may then call
     *     {@link #awaitPermission} to send the request again
     */
    CompletableFuture<Void> onConnectionLost(TargetConfig target, CallRequest request);
}
