/**
 * Capacity planning: measures how heap, messages and processor time grow with size, and extrapolates to the size that the
 * system is designed for. Start reading at {@link CapacityMain}.
 */
@NullMarked
package io.anvilpick.load.capacity;

import org.jspecify.annotations.NullMarked;
