package io.anvilpick.claims.replication;

import io.anvilpick.claims.ClaimKey;

/**
 * Proof that a call holds a key.
 *
 * @param key what is held
 * @param holder random name of the call that holds it
 */
public record ClaimTicket(ClaimKey key, String holder) {}
