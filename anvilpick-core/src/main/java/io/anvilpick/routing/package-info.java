/**
 * Choosing a target for each call: queueing, late binding, straggler avoidance and hedging.
 */
@NullMarked
package io.anvilpick.routing;

import org.jspecify.annotations.NullMarked;
