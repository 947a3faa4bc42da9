/** A small key-value service with leases, watches, limits and faults, in the place of the platform's. */
@NullMarked
package io.anvilpick.standins.platform;

import org.jspecify.annotations.NullMarked;
