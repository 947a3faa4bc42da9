package io.anvilpick.messages;

/**
 * Asks what the answering daemon has read of the store.
 *
 * @param after the store's revision up to which the asking daemon knows it, or a negative number for everything
 */
public record StoreUpdateRequest(long after) implements PeerRequest {}
