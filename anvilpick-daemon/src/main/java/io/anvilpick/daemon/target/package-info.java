/** Targets over HTTP. */
@NullMarked
package io.anvilpick.daemon.target;

import org.jspecify.annotations.NullMarked;
