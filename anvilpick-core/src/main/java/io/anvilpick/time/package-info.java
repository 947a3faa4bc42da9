/**
 * Injected time: a monotonic source for deadlines and a wall clock for records.
 */
@NullMarked
package io.anvilpick.time;

import org.jspecify.annotations.NullMarked;
