package io.anvilpick.messages;

/**
 * Requests the changes that the receiver has read from the store.
 *
 * @param after store revision up to which the sender has received the changes; a negative number requests all items
 */
public record StoreUpdateRequest(long after) implements PeerRequest {}
