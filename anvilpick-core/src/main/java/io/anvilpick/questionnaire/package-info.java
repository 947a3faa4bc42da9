/**
 * Reads and validates the operators' questionnaire and generates the configuration from it.
 */
@NullMarked
package io.anvilpick.questionnaire;

import org.jspecify.annotations.NullMarked;
