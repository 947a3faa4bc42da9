/**
 * A stand-in for the platform: a key-value service with leases, watches, rate limits and injected faults. Begin with
 * {@link PlatformStandIn}.
 */
@NullMarked
package io.anvilpick.standins.platform;

import org.jspecify.annotations.NullMarked;
