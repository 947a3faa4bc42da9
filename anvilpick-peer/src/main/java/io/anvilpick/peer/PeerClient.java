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
 * Reaches other daemons over one connection each, made at the first request and again after a loss. Thread safe, in
 * shards by address.
 */
public final class PeerClient implements PeerTransport, AutoCloseable {
    private static final int SHARDS = 16;

    private final EventLoopGroup group;
    private final TimeSource time;
    private final Shards<Map<String, PeerConnection>> connections = Shards.create(SHARDS, HashMap::new);

    /**
     * Creates a client.
     *
     * @param group the threads that serve connections; the caller shuts them down
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
        PeerConnection fresh = PeerConnection.open(group, HostAndPort.fromString(peerAddress));
        shard.put(peerAddress, fresh);
        return fresh;
    }
}
