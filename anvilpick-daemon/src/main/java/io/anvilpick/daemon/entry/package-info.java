/**
 * The daemon that accepts requests by host and path: its server, its pages, and its lifecycle from start to shutdown. Begin with
 * {@link io.anvilpick.daemon.entry.EntryDaemon}.
 */
@NullMarked
package io.anvilpick.daemon.entry;

import org.jspecify.annotations.NullMarked;
