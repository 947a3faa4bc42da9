/** Metrics of calls and requests, and their export in the Prometheus text format. */
@NullMarked
package io.anvilpick.daemon.metrics;

import org.jspecify.annotations.NullMarked;
