/**
 * Budgets for retries, hedges and measuring.
 */
@NullMarked
package io.anvilpick.limits;

import org.jspecify.annotations.NullMarked;
