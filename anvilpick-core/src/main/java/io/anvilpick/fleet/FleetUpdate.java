package io.anvilpick.fleet;

import com.google.common.collect.ImmutableList;

/** What following the store brought. */
public sealed interface FleetUpdate {
    /**
     * All that the store held.
     *
     * @param revision the store's revision, from which to follow
     */
    record FullState(ImmutableList<StoredItem> items, long revision) implements FleetUpdate {}

    /** What has changed since the revision asked for; nothing if the wait was over first. */
    record Changes(ImmutableList<StoredItem> items, long revision) implements FleetUpdate {}

    /** The store no longer knows what has changed since then. */
    record HistoryLost() implements FleetUpdate {}
}
