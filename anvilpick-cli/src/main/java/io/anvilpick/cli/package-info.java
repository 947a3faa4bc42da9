/** The operator client: questionnaire in, configuration accepted, and what is in force shown. */
@NullMarked
package io.anvilpick.cli;

import org.jspecify.annotations.NullMarked;
