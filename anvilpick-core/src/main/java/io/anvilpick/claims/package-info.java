/**
 * At-most-once execution of calls by claims on idempotency keys.
 *
 * <p>A call claims its key by a majority vote of the key's {@link io.anvilpick.claims.ClaimGroup}. Replicas hold claims
 * in memory only, in a {@link io.anvilpick.claims.ClaimTable}. The network side is in
 * {@code io.anvilpick.claims.replication}.
 */
@NullMarked
package io.anvilpick.claims;

import org.jspecify.annotations.NullMarked;
