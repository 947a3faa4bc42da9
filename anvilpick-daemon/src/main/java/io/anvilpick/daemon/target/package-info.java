/** Clients that send calls to targets over HTTP. {@link io.anvilpick.daemon.target.HttpTargetClient} uses Armeria. */
@NullMarked
package io.anvilpick.daemon.target;

import org.jspecify.annotations.NullMarked;
