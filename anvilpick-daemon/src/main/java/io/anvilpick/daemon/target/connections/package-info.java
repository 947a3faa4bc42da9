/**
 * A pooled HTTP/1.1 client for targets, with one exchange at a time on each connection. Begin with {@link
 * io.anvilpick.daemon.target.connections.NettyTargetClient}.
 *
 * <p>It uses Netty's codec directly, because each answer must be matched with its request by id. A connection that carried an
 * extra or malformed answer must not be reused.
 */
@NullMarked
package io.anvilpick.daemon.target.connections;

import org.jspecify.annotations.NullMarked;
