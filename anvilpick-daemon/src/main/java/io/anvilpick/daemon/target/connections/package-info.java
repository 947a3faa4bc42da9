/**
 * Connections to targets over HTTP/1.1, one exchange at a time on each.
 *
 * <p>Netty's codec is used directly, since an answer must be matched with its request by id, and a connection with an extra
 * or broken answer must not be used again.
 */
@NullMarked
package io.anvilpick.daemon.target.connections;

import org.jspecify.annotations.NullMarked;
