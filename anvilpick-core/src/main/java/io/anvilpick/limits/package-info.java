/**
 * Budgets for retries, hedges and trial calls, and the limit on buffered bodies.
 */
@NullMarked
package io.anvilpick.limits;

import org.jspecify.annotations.NullMarked;
