/** Settings from flags and environment variables, checked as a whole. */
@NullMarked
package io.anvilpick.settings;

import org.jspecify.annotations.NullMarked;
