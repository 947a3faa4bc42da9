package io.anvilpick.peer;

import com.google.common.net.HostAndPort;
import io.anvilpick.messages.PeerException;
import io.anvilpick.messages.PeerReply;
import io.anvilpick.messages.PeerRequest;
import io.anvilpick.messages.PeerTransport;
import io.anvilpick.shard.Shards;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import io.netty.channel.EventLoopGroup;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Sends requests to other daemons over one connection per daemon. Thread safe, in shards by address.
 *
 * <p>A connection is opened at the first request and opened again at the first request after it was lost. Bound: the daemons that
 * are connected, as a new connection takes the closed ones of its shard out of the table.
 */
public final class PeerClient implements PeerTransport, AutoCloseable {
    private static final int SHARDS = 16;

    private final EventLoopGroup group;
    private final TimeSource time;
    private final Shards<Map<String, PeerConnection>> connections = Shards.create(SHARDS, HashMap::new);

    /**
     * Creates a client.
     *
     * @param group event loops that serve the connections; not shut down by the client
     */
    public PeerClient(EventLoopGroup group, TimeSource time) {
        this.group = group;
        this.time = time;
    }

    @Override
    public CompletableFuture<PeerReply> send(String peerAddress, PeerRequest request, Deadline deadline) {
        long remaining = deadline.remainingNanos(time.nanos());
        if (remaining <= 0) {
            return CompletableFuture.failedFuture(new PeerException("deadline passed", false));
        }
        PeerConnection connection = connections.withShardOf(peerAddress, shard -> connectionIn(shard, peerAddress));
        CompletableFuture<PeerReply> reply = connection.send(request);
        return reply.orTimeout(remaining, TimeUnit.NANOSECONDS);
    }

    @Override
    public void close() {
        connections.forEach(shard -> {
            shard.values().forEach(PeerConnection::close);
            shard.clear();
        });
    }

    private PeerConnection connectionIn(Map<String, PeerConnection> shard, String peerAddress) {
        PeerConnection present = shard.get(peerAddress);
        if (present != null && !present.isClosed()) {
            return present;
        }
        shard.values().removeIf(PeerConnection::isClosed);
        PeerConnection opened = PeerConnection.open(group, HostAndPort.fromString(peerAddress));
        shard.put(peerAddress, opened);
        return opened;
    }
}
