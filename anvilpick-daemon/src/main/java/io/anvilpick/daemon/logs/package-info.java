/** Asynchronous logging to standard output, so that no request waits for a log line to be written. */
@NullMarked
package io.anvilpick.daemon.logs;

import org.jspecify.annotations.NullMarked;
