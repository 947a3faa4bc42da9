/**
 * The background tasks of a daemon: registration, gossip, reading the configuration and moving claim groups.
 *
 * <p>{@link io.anvilpick.daemon.control.ControlLoops} runs them. {@link io.anvilpick.daemon.control.DaemonState} holds
 * the state that they update.
 */
@NullMarked
package io.anvilpick.daemon.control;

import org.jspecify.annotations.NullMarked;
