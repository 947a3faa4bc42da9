/**
 * Budgets for retries, hedges and load probes, and the limit on buffered bodies.
 */
@NullMarked
package io.anvilpick.limits;

import org.jspecify.annotations.NullMarked;
