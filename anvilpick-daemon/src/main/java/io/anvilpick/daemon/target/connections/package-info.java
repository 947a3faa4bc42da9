/**
 * A pooled HTTP/1.1 client for targets, with one exchange at a time on each connection. Begin with
 * {@link io.anvilpick.daemon.target.connections.NettyTargetClient}.
 *
 * <p>It uses Netty's codec directly, because each answer must be matched with its request by id. A connection must not be reused
 * after a malformed answer, or after an answer that arrived while no request was pending.
 */
@NullMarked
package io.anvilpick.daemon.target.connections;

import org.jspecify.annotations.NullMarked;
