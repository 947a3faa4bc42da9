/**
 * Claims on keys at replicas on other daemons, and transfers of claim groups between daemons.
 *
 * <p>{@link io.anvilpick.claims.replication.Claimer} claims keys for calls.
 * {@link io.anvilpick.claims.replication.GroupMover} moves groups when the set of daemons changes.
 */
@NullMarked
package io.anvilpick.claims.replication;

import org.jspecify.annotations.NullMarked;
