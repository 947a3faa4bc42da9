/**
 * At-most-once execution: claims on idempotency keys, voted on by replicas held in memory.
 */
@NullMarked
package io.anvilpick.claims;

import org.jspecify.annotations.NullMarked;
