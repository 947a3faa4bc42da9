/**
 * Synchronization of a daemon with the store: {@link io.anvilpick.fleet.sync.FleetFollower} reads it directly or through another
 * daemon, and {@link io.anvilpick.fleet.sync.MemberRegistrar} keeps the daemon registered in it.
 */
@NullMarked
package io.anvilpick.fleet.sync;

import org.jspecify.annotations.NullMarked;
