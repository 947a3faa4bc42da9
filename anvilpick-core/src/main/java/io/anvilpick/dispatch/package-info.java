/**
 * Selection of a target for each call: admission, fair queueing, late binding, straggler avoidance, ejection of failing
 * targets and hedging.
 *
 * <p>{@link io.anvilpick.dispatch.Dispatcher} is the entry point. {@link io.anvilpick.dispatch.TargetPolicy} lists the
 * selection policies.
 */
@NullMarked
package io.anvilpick.dispatch;

import org.jspecify.annotations.NullMarked;
