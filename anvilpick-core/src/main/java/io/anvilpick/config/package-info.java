/**
 * The configuration in force: its records, its parts, and the rules by which versions rise.
 */
@NullMarked
package io.anvilpick.config;

import org.jspecify.annotations.NullMarked;
