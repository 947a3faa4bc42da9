package io.anvilpick.calls;

import io.anvilpick.config.Configuration;
import io.anvilpick.config.ServiceConfig;
import io.anvilpick.dispatch.Dispatcher;
import io.anvilpick.shard.Shards;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/**
 * The dispatchers of the services that this daemon has had calls for, in shards by service. Thread safe.
 *
 * <p>A dispatcher is made at the first call, and follows the configuration at the next call after a change, so that a
 * daemon pays only for the services that its callers use.
 */
public final class DispatcherRegistry {
    private static final int SHARDS = 32;

    private final Supplier<Dispatcher> newDispatcher;
    private final Shards<Map<String, Row>> rows = Shards.create(SHARDS, HashMap::new);
    private volatile Set<String> leavingAddresses = Set.of();
    private volatile int daemons = 1;

    private record Row(Dispatcher dispatcher, ServiceConfig service, Configuration configuration) {}

    /** Creates an empty registry. */
    public DispatcherRegistry(Supplier<Dispatcher> newDispatcher) {
        this.newDispatcher = newDispatcher;
    }

    /** Returns the dispatcher of {@code service}, with the configuration given in force. */
    public Dispatcher dispatcherFor(ServiceConfig service, Configuration configuration) {
        return rows.withShardOf(service.name(), shard -> {
            Row row = shard.get(service.name());
            if (row != null && row.configuration() == configuration) {
                return row.dispatcher();
            }
            Dispatcher dispatcher = row == null ? newDispatcher.get() : row.dispatcher();
            dispatcher.configure(service, configuration);
            dispatcher.setLeavingAddresses(leavingAddresses);
            dispatcher.setDaemonCount(daemons);
            shard.put(service.name(), new Row(dispatcher, service, configuration));
            return dispatcher;
        });
    }

    /** Tells every dispatcher which hosts or addresses the platform lists as leaving. */
    public void setLeavingAddresses(Set<String> addresses) {
        leavingAddresses = Set.copyOf(addresses);
        rows.forEach(shard -> shard.values().forEach(row -> row.dispatcher().setLeavingAddresses(addresses)));
    }

    /** Tells every dispatcher how many daemons may connect to the same targets. */
    public void setDaemonCount(int count) {
        daemons = count;
        rows.forEach(shard -> shard.values().forEach(row -> row.dispatcher().setDaemonCount(count)));
    }

    /** Returns the service name and dispatcher of every service in use. */
    public Map<String, Dispatcher> all() {
        Map<String, Dispatcher> all = new HashMap<>();
        rows.forEach(shard -> shard.forEach((name, row) -> all.put(name, row.dispatcher())));
        return all;
    }
}
