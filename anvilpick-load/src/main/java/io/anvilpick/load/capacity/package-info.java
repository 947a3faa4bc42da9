/** Slopes of state, messages and processor time by size, and the figures at the size to design for. */
@NullMarked
package io.anvilpick.load.capacity;

import org.jspecify.annotations.NullMarked;
