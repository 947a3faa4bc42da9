/**
 * Mutable state split into shards, each guarded by its own lock.
 */
@NullMarked
package io.anvilpick.shard;

import org.jspecify.annotations.NullMarked;
