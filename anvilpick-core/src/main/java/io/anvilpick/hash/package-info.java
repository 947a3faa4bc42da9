/**
 * Rendezvous hashing, shared by membership, claims and routing.
 */
@NullMarked
package io.anvilpick.hash;

import org.jspecify.annotations.NullMarked;
