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

/** A request on its way to a target and back. Thread safe. */
final class PendingExchange implements Exchange {
    private final TargetConfig target;
    private final CallRequest request;
    private final CompletableFuture<TargetReply> reply = new CompletableFuture<>();
    private final AtomicReference<@Nullable TargetConnection> connection = new AtomicReference<>();

    private final boolean probe;
    private volatile boolean onUsedConnection;

    PendingExchange(TargetConfig target, CallRequest request) {
        this(target, request, false);
    }

    private PendingExchange(TargetConfig target, CallRequest request, boolean probe) {
        this.target = target;
        this.request = request;
        this.probe = probe;
    }

    /** Returns a request for the target's load, which has no id. */
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
        return new PendingExchange(target, request, true);
    }

    /** Returns whether this is a probe, whose answer names no request. */
    boolean isProbe() {
        return probe;
    }

    TargetConfig target() {
        return target;
    }

    CallRequest request() {
        return request;
    }

    /** Notes the connection that carries the exchange, and whether it has carried others before. */
    void carriedBy(TargetConnection carrier, boolean used) {
        connection.set(carrier);
        onUsedConnection = used;
    }

    boolean wasOnUsedConnection() {
        return onUsedConnection;
    }

    boolean isDone() {
        return reply.isDone();
    }

    /** Ends the exchange unless it has ended already; returns whether it did. */
    boolean end(TargetReply outcome) {
        return reply.complete(outcome);
    }

    @Override
    public CompletableFuture<TargetReply> reply() {
        return reply;
    }

    @Override
    public void cancel() {
        giveUp(new TargetReply.Cancelled());
    }

    /** Ends the exchange and closes its connection, by which the target learns that the answer is not wanted. */
    void giveUp(TargetReply outcome) {
        if (!reply.complete(outcome)) {
            return;
        }
        TargetConnection carrier = connection.get();
        if (carrier != null) {
            carrier.abort(this);
        }
    }
}
