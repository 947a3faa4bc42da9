package io.anvilpick.daemon.target.connections;

import com.google.common.collect.ImmutableList;
import io.anvilpick.calls.CallRequest;
import io.anvilpick.calls.Exchange;
import io.anvilpick.calls.Header;
import io.anvilpick.calls.TargetReply;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.time.Deadline;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;

/** A request to a target whose reply is pending. Thread safe. */
final class PendingExchange implements Exchange {
    private static final String NO_ID = "";

    private final TargetConfig target;
    private final CallRequest request;
    private final String requestId;
    private final CompletableFuture<TargetReply> reply = new CompletableFuture<>();
    private final AtomicReference<@Nullable TargetConnection> connection = new AtomicReference<>();

    private final boolean probe;
    private volatile boolean onReusedConnection;
    private volatile boolean responded;

    private PendingExchange(TargetConfig target, CallRequest request, String requestId, boolean probe) {
        this.target = target;
        this.request = request;
        this.requestId = requestId;
        this.probe = probe;
    }

    /** Returns a call, whose request id is in the header {@code idHeader}. */
    static PendingExchange call(TargetConfig target, CallRequest request, String idHeader) {
        return new PendingExchange(target, request, requestIdOf(request, idHeader), false);
    }

    private static String requestIdOf(CallRequest request, String idHeader) {
        for (Header header : request.headers()) {
            if (header.name().equalsIgnoreCase(idHeader)) {
                return header.value();
            }
        }
        return NO_ID;
    }

    /** Returns a probe of the target's load, which has no request id. */
    static PendingExchange probe(TargetConfig target, String path, Deadline deadline) {
        CallRequest request = new CallRequest(
                "",
                "",
                "GET",
                path,
                ImmutableList.of(new Header("host", target.address())),
                new byte[0],
                Optional.empty(),
                deadline,
                0);
        return new PendingExchange(target, request, NO_ID, true);
    }

    /** Returns whether this is a probe, whose answer has no request id. */
    boolean isProbe() {
        return probe;
    }

    TargetConfig target() {
        return target;
    }

    CallRequest request() {
        return request;
    }

    /** Returns the id that answers to this request bear; empty if the request has none. */
    String requestId() {
        return requestId;
    }

    /** Sets the connection that carries the exchange, and whether it has carried other exchanges before. */
    void setConnection(TargetConnection carrier, boolean reused) {
        connection.set(carrier);
        onReusedConnection = reused;
    }

    /** Records that the target has sent something on the connection since the request was sent. */
    void recordResponse() {
        responded = true;
    }

    /** Returns whether the target has sent something, be it valid or not. */
    boolean hasResponse() {
        return responded;
    }

    /** Returns whether the target may have dropped the connection before it received the request. */
    boolean mayHaveMetADroppedConnection() {
        return onReusedConnection && !responded;
    }

    boolean isDone() {
        return reply.isDone();
    }

    /** Completes the exchange with {@code outcome} unless it is complete already, and returns whether it did. */
    boolean complete(TargetReply outcome) {
        return reply.complete(outcome);
    }

    @Override
    public CompletableFuture<TargetReply> reply() {
        return reply;
    }

    @Override
    public void cancel() {
        abort(new TargetReply.Cancelled());
    }

    /**
     * Completes the exchange with {@code outcome} and closes its connection, which lets the target detect that the answer is no
     * longer needed. Has no effect on a complete exchange.
     */
    void abort(TargetReply outcome) {
        if (!reply.complete(outcome)) {
            return;
        }
        TargetConnection carrier = connection.get();
        if (carrier != null) {
            carrier.abort(this);
        }
    }
}
