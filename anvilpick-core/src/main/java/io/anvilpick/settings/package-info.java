/** Reads and validates settings from flags and environment variables, and defines the exit codes of the programs. */
@NullMarked
package io.anvilpick.settings;

import org.jspecify.annotations.NullMarked;
