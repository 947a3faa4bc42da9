package io.anvilpick.fleet;

import java.util.Optional;

/**
 * An item of the store or its end, in the store's own form, which only a {@link FleetDecoder} reads.
 *
 * @param revision the store's revision at which it was written or deleted
 * @param value what was written; none if the item was deleted
 */
public record StoredItem(String key, long revision, Optional<String> value) {}
