package io.anvilpick.daemon.target.connections;

import io.anvilpick.shard.Shards;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Idle connections to targets, in shards by address. Thread safe. */
final class ConnectionPool {
    private static final int SHARDS = 16;
    private static final int MOST_IDLE_PER_TARGET = 8;

    private final RestLimit restLimit;
    private final Shards<Map<String, Deque<TargetConnection>>> idle = Shards.create(SHARDS, HashMap::new);

    ConnectionPool(RestLimit restLimit) {
        this.restLimit = restLimit;
    }

    /** Returns what is known of how long connections may rest. */
    RestLimit restLimit() {
        return restLimit;
    }

    /**
     * Takes the connection that was used last and is still good, if there is one; closes those that are not.
     *
     * @param surely whether one that its target may have forgotten is left where it is
     */
    @Nullable
    TargetConnection take(String address, boolean surely) {
        return idle.withShardOf(address, shard -> {
            Deque<TargetConnection> connections = shard.get(address);
            while (connections != null && !connections.isEmpty()) {
                if (surely && restLimit.isOver(connections.peek().rested())) {
                    return null;
                }
                TargetConnection connection = connections.pop();
                if (connection.isUsable()) {
                    return connection;
                }
                connection.close();
            }
            return null;
        });
    }

    /** Keeps a connection that carries no exchange any more. */
    void putBack(TargetConnection connection) {
        boolean kept = idle.withShardOf(connection.address(), shard -> {
            Deque<TargetConnection> connections =
                    shard.computeIfAbsent(connection.address(), address -> new ArrayDeque<>());
            if (connections.size() >= MOST_IDLE_PER_TARGET) {
                return false;
            }
            connections.push(connection);
            return true;
        });
        if (!kept) {
            connection.close();
        }
    }

    /** Drops a connection that is closed. */
    void forget(TargetConnection connection) {
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
