/**
 * The operators' questionnaire: reading, checking and generating configuration from it.
 */
@NullMarked
package io.anvilpick.questionnaire;

import org.jspecify.annotations.NullMarked;
