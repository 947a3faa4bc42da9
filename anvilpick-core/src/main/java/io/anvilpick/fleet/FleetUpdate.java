package io.anvilpick.fleet;

import com.google.common.collect.ImmutableList;

/** The result of reading the store or of waiting for its changes. All revisions of an update are of one era. */
public sealed interface FleetUpdate {
    /**
     * All items that the store held.
     *
     * @param revision the store's revision after which to wait for changes
     */
    record FullState(ImmutableList<StoredItem> items, StoreRevision revision) implements FleetUpdate {}

    /**
     * The changes since the requested revision.
     *
     * @param items the changed items; empty if nothing changed during the wait
     * @param revision the store's revision up to which the changes are complete
     */
    record Changes(ImmutableList<StoredItem> items, StoreRevision revision) implements FleetUpdate {}

    /**
     * The store no longer holds the changes since the requested revision, or they are larger than this daemon reads at once;
     * everything has to be read again.
     */
    record HistoryLost() implements FleetUpdate {}
}
