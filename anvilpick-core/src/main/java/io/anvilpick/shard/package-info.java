/**
 * State split into shards, each under its own lock.
 */
@NullMarked
package io.anvilpick.shard;

import org.jspecify.annotations.NullMarked;
