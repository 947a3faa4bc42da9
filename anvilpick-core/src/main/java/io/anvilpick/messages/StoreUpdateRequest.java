package io.anvilpick.messages;

import io.anvilpick.fleet.StoreRevision;

/**
 * Requests the changes that the receiver has read from the store.
 *
 * @param after store revision up to which the sender has received the changes; {@link StoreRevision#NONE} requests all items
 */
public record StoreUpdateRequest(StoreRevision after) implements PeerRequest {}
