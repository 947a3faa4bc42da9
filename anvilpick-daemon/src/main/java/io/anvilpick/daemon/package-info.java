/**
 * The daemon that runs on every entry VM: settings, start, shutdown and the wiring of its parts.
 *
 * <p>{@link io.anvilpick.daemon.Daemon} creates and connects the parts. {@link io.anvilpick.daemon.DaemonMain} is the
 * program.
 */
@NullMarked
package io.anvilpick.daemon;

import org.jspecify.annotations.NullMarked;
