/**
 * The kinds of errors, and the answer that callers get for each: {@link io.anvilpick.error.AnswerTable} maps every
 * {@link io.anvilpick.error.ErrorKind} to an {@link io.anvilpick.error.Answer}.
 */
@NullMarked
package io.anvilpick.error;

import org.jspecify.annotations.NullMarked;
