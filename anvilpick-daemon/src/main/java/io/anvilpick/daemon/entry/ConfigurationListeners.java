package io.anvilpick.daemon.entry;

import com.google.common.collect.ImmutableList;
import io.anvilpick.fleet.FleetView;
import io.anvilpick.routes.RouteConfiguration;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Passes each configuration that comes into force to the tables whose entries are named by the configuration, so that they drop the
 * names that it lacks. Not thread safe.
 */
final class ConfigurationListeners {
    private final ImmutableList<Consumer<RouteConfiguration>> listeners;
    private @Nullable RouteConfiguration delivered;

    ConfigurationListeners(ImmutableList<Consumer<RouteConfiguration>> listeners) {
        this.listeners = listeners;
    }

    /** Passes on the configuration of {@code view} unless it is the last one that all listeners have taken. */
    void update(FleetView view) {
        view.configuration().filter(inForce -> inForce != delivered).ifPresent(this::deliver);
    }

    private void deliver(RouteConfiguration inForce) {
        listeners.forEach(listener -> listener.accept(inForce));
        delivered = inForce;
    }
}
