/** A TCP proxy between two processes that delays or discards traffic and closes connections. */
@NullMarked
package io.anvilpick.standins.proxy;

import org.jspecify.annotations.NullMarked;
