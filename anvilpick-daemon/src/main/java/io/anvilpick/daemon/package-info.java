/** The daemon on every entry VM: its settings, and how its parts are put together. */
@NullMarked
package io.anvilpick.daemon;

import org.jspecify.annotations.NullMarked;
