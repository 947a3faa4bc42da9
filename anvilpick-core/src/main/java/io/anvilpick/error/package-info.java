/**
 * The closed list of error kinds and the table from kind to answer.
 */
@NullMarked
package io.anvilpick.error;

import org.jspecify.annotations.NullMarked;
