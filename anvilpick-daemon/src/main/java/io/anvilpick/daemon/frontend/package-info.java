/** The HTTP front end: accepts calls and operator requests, runs calls through the core, and encodes the answers. */
@NullMarked
package io.anvilpick.daemon.frontend;

import org.jspecify.annotations.NullMarked;
