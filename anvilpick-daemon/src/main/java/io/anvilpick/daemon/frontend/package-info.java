/** The front end towards callers: HTTP in, calls to the core, answers out. */
@NullMarked
package io.anvilpick.daemon.frontend;

import org.jspecify.annotations.NullMarked;
