/**
 * Requests that crash the targets that run them: noticing, telling and refusing them.
 */
@NullMarked
package io.anvilpick.crashes;

import org.jspecify.annotations.NullMarked;
