package io.anvilpick.fleet;

import java.util.Optional;

/**
 * An item of the store or its deletion, in the store's encoding. Only a {@link FleetDecoder} interprets key and value.
 *
 * @param revision the store's revision at which the item was written or deleted
 * @param value the value written; empty if the item was deleted
 */
public record StoredItem(String key, StoreRevision revision, Optional<String> value) {}
