/**
 * Choosing a target for each call: queueing, late binding, straggler avoidance and hedging.
 */
@NullMarked
package io.anvilpick.dispatch;

import org.jspecify.annotations.NullMarked;
