package io.anvilpick.fleet;

import java.time.Duration;

/**
 * An update that another daemon passes on.
 *
 * @param age time since that daemon, or the one that it follows, last heard from the store
 */
public record RelayedUpdate(FleetUpdate update, Duration age) {}
