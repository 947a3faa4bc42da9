package io.anvilpick.calls;

import com.google.common.collect.ImmutableList;
import io.anvilpick.config.Configuration;
import io.anvilpick.config.ServiceConfig;
import io.anvilpick.dispatch.DispatchResult;
import io.anvilpick.dispatch.Dispatcher;
import io.anvilpick.shard.Shards;
import io.anvilpick.time.Deadline;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * The dispatchers of the services that this daemon has received calls for, in shards by service. Thread safe.
 *
 * <p>A dispatcher is created at the first call of its service. It is reconfigured at the first call after a change of
 * the configuration. A daemon therefore spends memory and time only on services that its callers use.
 */
public final class DispatcherRegistry {
    private static final int SHARDS = 32;

    private final Supplier<Dispatcher> newDispatcher;
    private final Shards<Map<String, Row>> rows = Shards.create(SHARDS, HashMap::new);
    private volatile Set<String> leavingAddresses = Set.of();
    private volatile int daemons = 1;
    private volatile @Nullable Deadline end;

    private record Row(Dispatcher dispatcher, ServiceConfig service, Configuration configuration) {}

    /** Creates an empty registry. */
    public DispatcherRegistry(Supplier<Dispatcher> newDispatcher) {
        this.newDispatcher = newDispatcher;
    }

    /** Returns the dispatcher of {@code service}, configured with {@code configuration}. */
    public Dispatcher dispatcherFor(ServiceConfig service, Configuration configuration) {
        return rows.withShardOf(service.name(), shard -> {
            Row row = shard.get(service.name());
            if (row != null && row.configuration() == configuration) {
                return row.dispatcher();
            }
            Dispatcher dispatcher = row == null ? create() : row.dispatcher();
            dispatcher.configure(service, configuration);
            dispatcher.setLeavingAddresses(leavingAddresses);
            dispatcher.setDaemonCount(daemons);
            shard.put(service.name(), new Row(dispatcher, service, configuration));
            return dispatcher;
        });
    }

    private Dispatcher create() {
        Dispatcher dispatcher = newDispatcher.get();
        Deadline stop = end;
        if (stop != null) {
            dispatcher.stopBy(stop);
        }
        return dispatcher;
    }

    /** Calls {@link Dispatcher#stopBy} for each dispatcher, and for those created later, and returns what left their queues. */
    public ImmutableList<DispatchResult> stopBy(Deadline value) {
        end = value;
        ImmutableList.Builder<DispatchResult> results = ImmutableList.builder();
        all().values().forEach(dispatcher -> results.add(dispatcher.stopBy(value)));
        return results.build();
    }

    /** Sets the hosts or addresses that the platform lists as leaving, in every dispatcher. */
    public void setLeavingAddresses(Set<String> addresses) {
        leavingAddresses = Set.copyOf(addresses);
        rows.forEach(shard -> shard.values().forEach(row -> row.dispatcher().setLeavingAddresses(addresses)));
    }

    /** Sets the number of daemons that may connect to the same targets, in every dispatcher. */
    public void setDaemonCount(int count) {
        daemons = count;
        rows.forEach(shard -> shard.values().forEach(row -> row.dispatcher().setDaemonCount(count)));
    }

    /** Returns the dispatchers of all services in use, by service name. */
    public Map<String, Dispatcher> all() {
        Map<String, Dispatcher> all = new HashMap<>();
        rows.forEach(shard -> shard.forEach((name, row) -> all.put(name, row.dispatcher())));
        return all;
    }
}
