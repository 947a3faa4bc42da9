package io.anvilpick.fleet;

import com.google.common.collect.ImmutableList;

/** Decodes items of the store. Implementations are thread safe. */
@FunctionalInterface
public interface FleetDecoder {
    /**
     * Returns the changes of the fleet that {@code item} stands for; empty if it does not concern the fleet. An item that cannot
     * be decoded yields {@link FleetChange.Unreadable} and never an exception, so that the other items take effect.
     */
    ImmutableList<FleetChange> decode(StoredItem item);

    /** Drops what is remembered of items that are not among {@code items}, which are all items of the store. */
    default void retainOnly(ImmutableList<StoredItem> items) {
        // Most decoders remember nothing.
    }
}
