/**
 * A client of one HTTP server over Netty. Unlike Armeria's client it sets up neither TLS nor a resolver of names, which takes a
 * quarter of the processor time of a daemon's start.
 */
@NullMarked
package io.anvilpick.daemon.http;

import org.jspecify.annotations.NullMarked;
