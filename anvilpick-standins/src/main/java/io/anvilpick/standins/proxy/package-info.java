/** A TCP proxy that delays, cuts and swallows traffic between two processes. */
@NullMarked
package io.anvilpick.standins.proxy;

import org.jspecify.annotations.NullMarked;
