/**
 * The fleet as one daemon holds it: the configuration, the registered targets and the other daemons.
 *
 * <p>{@link io.anvilpick.fleet.FleetState} holds the current view. {@link io.anvilpick.fleet.FleetStore} is the port to the store
 * that the view is read from. {@link io.anvilpick.fleet.RelayLog} keeps what was read for daemons that follow the store through
 * this one.
 */
@NullMarked
package io.anvilpick.fleet;

import org.jspecify.annotations.NullMarked;
