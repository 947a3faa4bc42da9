package io.anvilpick.daemon.target;

import com.linecorp.armeria.common.HttpResponse;
import io.anvilpick.calls.Exchange;
import io.anvilpick.calls.TargetReply;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/** An HTTP exchange with a target; cancelling it resets the stream. */
record HttpExchange(
        CompletableFuture<TargetReply> reply, @Nullable HttpResponse response) implements Exchange {
    @Override
    public void cancel() {
        if (response != null && !reply.isDone()) {
            response.abort(CancelledByDaemonException.INSTANCE);
        }
    }
}
