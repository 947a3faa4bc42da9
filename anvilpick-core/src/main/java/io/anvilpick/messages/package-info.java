/**
 * Requests and replies between daemons, independent of their encoding.
 *
 * <p>{@link io.anvilpick.messages.PeerTransport} sends requests.
 * {@link io.anvilpick.messages.PeerHandler} answers them.
 */
@NullMarked
package io.anvilpick.messages;

import org.jspecify.annotations.NullMarked;
