package io.anvilpick.daemon.target.connections;

import io.anvilpick.shard.Shards;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** A pool of idle connections to targets, in shards by address. Thread safe. */
final class ConnectionPool {
    private static final int SHARDS = 16;
    private static final int MAX_IDLE_PER_TARGET = 8;

    private final IdleReuseLimit idleReuseLimit;
    private final Shards<Map<String, Deque<TargetConnection>>> idle = Shards.create(SHARDS, HashMap::new);

    ConnectionPool(IdleReuseLimit idleReuseLimit) {
        this.idleReuseLimit = idleReuseLimit;
    }

    /** Returns the limit on the idle time of connections that requests may reuse. */
    IdleReuseLimit idleReuseLimit() {
        return idleReuseLimit;
    }

    /**
     * Removes and returns the most recently used connection that is still usable and may carry {@code exchange}; null if there is
     * none. Closes the unusable ones that it finds on the way. A connection that its target may have dropped without notice is
     * left to probes.
     */
    @Nullable
    TargetConnection acquire(PendingExchange exchange) {
        String address = exchange.target().address();
        return idle.withShardOf(
                address, shard -> acquireFrom(shard.getOrDefault(address, new ArrayDeque<>()), exchange));
    }

    private @Nullable TargetConnection acquireFrom(Deque<TargetConnection> connections, PendingExchange exchange) {
        Iterator<TargetConnection> remaining = connections.iterator();
        while (remaining.hasNext()) {
            TargetConnection connection = remaining.next();
            if (!exchange.isProbe() && idleReuseLimit.isExceeded(connection.idleTime())) {
                return null;
            }
            if (!connection.mayCarry(exchange)) {
                continue;
            }
            remaining.remove();
            if (connection.isUsable()) {
                return connection;
            }
            connection.close();
        }
        return null;
    }

    /** Returns a connection without an exchange to the pool, or closes it if the pool of its target is full. */
    void release(TargetConnection connection) {
        boolean pooled = idle.withShardOf(connection.address(), shard -> {
            Deque<TargetConnection> connections =
                    shard.computeIfAbsent(connection.address(), address -> new ArrayDeque<>());
            if (connections.size() >= MAX_IDLE_PER_TARGET) {
                return false;
            }
            connections.push(connection);
            return true;
        });
        if (!pooled) {
            connection.close();
        }
    }

    /** Closes the idle connections to {@code address}. */
    void closeAll(String address) {
        Deque<TargetConnection> connections = idle.withShardOf(address, shard -> shard.remove(address));
        if (connections != null) {
            connections.forEach(TargetConnection::close);
        }
    }

    /** Removes a closed connection from the pool. */
    void remove(TargetConnection connection) {
        idle.withShardOf(connection.address(), shard -> {
            Deque<TargetConnection> connections = shard.get(connection.address());
            if (connections != null) {
                connections.remove(connection);
                if (connections.isEmpty()) {
                    shard.remove(connection.address());
                }
            }
            return null;
        });
    }
}
