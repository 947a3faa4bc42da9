/**
 * The protocol between daemons: frames of protobuf messages over TCP.
 *
 * <p>This package only encodes and transports. Requests and replies are the records of {@code io.anvilpick.messages},
 * and decisions about them are made elsewhere.
 *
 * <p>Begin with {@link io.anvilpick.peer.PeerClient} and {@link io.anvilpick.peer.PeerServer}.
 */
@NullMarked
package io.anvilpick.peer;

import org.jspecify.annotations.NullMarked;
