package io.anvilpick.fleet;

import com.google.common.collect.ImmutableList;

/** Reads items of the store. Implementations are thread safe. */
@FunctionalInterface
public interface FleetDecoder {
    /** Returns what an item says; nothing if it is none of the fleet's concern. */
    ImmutableList<FleetChange> decode(StoredItem item);
}
