package io.anvilpick.messages;

/**
 * Requests the changes that the receiver has read from the store.
 *
 * @param after revision of the store up to which the sender has received it; a negative number requests all items
 */
public record StoreUpdateRequest(long after) implements PeerRequest {}
