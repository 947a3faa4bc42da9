/** Counting calls, and showing the counts to scrapers. */
@NullMarked
package io.anvilpick.daemon.metrics;

import org.jspecify.annotations.NullMarked;
