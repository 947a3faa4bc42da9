/**
 * Requests and replies between daemons, independent of their encoding.
 *
 * <p>Begin with {@link io.anvilpick.messages.PeerRequest} and {@link io.anvilpick.messages.PeerReply}. A
 * {@code PeerTransport} sends requests, and a {@code PeerHandler} answers them.
 */
@NullMarked
package io.anvilpick.messages;

import org.jspecify.annotations.NullMarked;
