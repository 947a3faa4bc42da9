/**
 * The inner protocol: how daemons reach each other over TCP, with frames of protobuf messages.
 *
 * <p>Nothing is decided here; requests and replies are records of {@code io.anvilpick.messages}.
 */
@NullMarked
package io.anvilpick.peer;

import org.jspecify.annotations.NullMarked;
