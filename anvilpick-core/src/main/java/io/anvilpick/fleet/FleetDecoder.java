package io.anvilpick.fleet;

import com.google.common.collect.ImmutableList;

/** Decodes items of the store. Implementations are thread safe. */
@FunctionalInterface
public interface FleetDecoder {
    /** Returns the changes of the fleet that {@code item} stands for; empty if it does not concern the fleet. */
    ImmutableList<FleetChange> decode(StoredItem item);
}
