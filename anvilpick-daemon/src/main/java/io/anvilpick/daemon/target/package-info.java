/**
 * Clients that send calls to targets over HTTP. {@link io.anvilpick.daemon.target.HttpTargetClient} uses Armeria. The package
 * {@code connections} holds a client that uses Netty.
 */
@NullMarked
package io.anvilpick.daemon.target;

import org.jspecify.annotations.NullMarked;
