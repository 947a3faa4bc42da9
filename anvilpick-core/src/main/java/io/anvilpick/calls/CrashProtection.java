package io.anvilpick.calls;

import io.anvilpick.config.TargetConfig;
import io.anvilpick.error.CallException;
import java.util.concurrent.CompletableFuture;

/** Keeps requests that crash targets from running over and over. Implementations are thread safe. */
public interface CrashProtection {
    /**
     * Returns once {@code request} may run.
     *
     * @throws CallException if it is blocked
     */
    void awaitPermission(CallRequest request) throws CallException, InterruptedException;

    /**
     * Notes that the connection was lost while {@code target} ran {@code request}.
     *
     * @return completes once it is known whether the target crashed
     */
    CompletableFuture<Void> onConnectionLost(TargetConfig target, CallRequest request);
}
