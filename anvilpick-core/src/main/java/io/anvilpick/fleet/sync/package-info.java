/** How a daemon learns what the store holds, itself or through another daemon, and stays registered there. */
@NullMarked
package io.anvilpick.fleet.sync;

import org.jspecify.annotations.NullMarked;
