package io.anvilpick.daemon.target;

import com.linecorp.armeria.common.HttpResponse;
import io.anvilpick.calls.Exchange;
import io.anvilpick.calls.TargetReply;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/**
 * An HTTP exchange with a target. Cancelling it resets the stream.
 *
 * @param reply the reply of the target
 * @param response the response to abort; null if the request was not sent
 */
record HttpExchange(
        CompletableFuture<TargetReply> reply, @Nullable HttpResponse response) implements Exchange {
    @Override
    public void cancel() {
        if (response != null && !reply.isDone()) {
            response.abort(CancelledByDaemonException.INSTANCE);
        }
    }
}
