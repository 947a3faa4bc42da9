package io.anvilpick.fleet;

import java.time.Duration;

/**
 * An update of the store that another daemon relays.
 *
 * @param age time since the store last answered the relaying daemon, or the daemon through which that one follows the store
 */
public record RelayedUpdate(FleetUpdate update, Duration age) {}
