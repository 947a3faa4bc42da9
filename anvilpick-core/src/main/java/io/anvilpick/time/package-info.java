/**
 * Injected time: {@link io.anvilpick.time.TimeSource} supplies a monotonic clock for deadlines and a wall clock for
 * timestamps. {@link io.anvilpick.time.Timer} runs actions after a delay.
 */
@NullMarked
package io.anvilpick.time;

import org.jspecify.annotations.NullMarked;
