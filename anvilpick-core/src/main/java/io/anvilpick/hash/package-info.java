/**
 * Rendezvous hashing, used by membership, by claims and by the configuration watch of the daemon.
 */
@NullMarked
package io.anvilpick.hash;

import org.jspecify.annotations.NullMarked;
