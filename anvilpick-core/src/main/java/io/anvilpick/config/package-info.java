/**
 * The configuration: its records, its stored parts, and the rules by which one version may replace another.
 *
 * <p>Start with {@link io.anvilpick.config.Configuration} for the content, with
 * {@link io.anvilpick.config.ConfigurationAcceptor} for how a version is stored, and with
 * {@link io.anvilpick.config.ActiveConfiguration} for the version that a daemon uses.
 */
@NullMarked
package io.anvilpick.config;

import org.jspecify.annotations.NullMarked;
