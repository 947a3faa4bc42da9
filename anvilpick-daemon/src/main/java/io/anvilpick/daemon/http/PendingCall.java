package io.anvilpick.daemon.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;

/** A call whose reply is pending. Thread safe. */
public final class PendingCall {
    private final ServerCall call;
    private final CompletableFuture<ServerReply> reply = new CompletableFuture<>();
    private final AtomicReference<@Nullable ClientConnection> connection = new AtomicReference<>();

    PendingCall(ServerCall call) {
        this.call = call;
    }

    /** Returns the future reply. It never completes exceptionally. */
    public CompletableFuture<ServerReply> reply() {
        return reply;
    }

    /** Completes the call as lost and closes its connection. Has no effect on a complete call. */
    public void abort() {
        abort("aborted");
    }

    void abort(String reason) {
        if (!reply.complete(new ServerReply.Lost(reason))) {
            return;
        }
        ClientConnection carrier = connection.get();
        if (carrier != null) {
            carrier.cancel(this);
        }
    }

    ServerCall call() {
        return call;
    }

    boolean isDone() {
        return reply.isDone();
    }

    void setConnection(ClientConnection carrier) {
        connection.set(carrier);
    }

    /** Completes the call with {@code outcome} unless it is complete already. */
    void complete(ServerReply outcome) {
        reply.complete(outcome);
    }
}
