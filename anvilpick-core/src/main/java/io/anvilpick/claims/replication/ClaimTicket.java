package io.anvilpick.claims.replication;

import io.anvilpick.claims.ClaimKey;

/**
 * Proof that a call holds a key.
 *
 * @param key the held key
 * @param holder random ID of the call that holds the key
 */
public record ClaimTicket(ClaimKey key, String holder) {}
