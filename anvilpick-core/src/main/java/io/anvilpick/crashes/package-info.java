/**
 * Records of requests that crash the targets that run them. Begin with {@link io.anvilpick.crashes.CrashHistory}.
 */
@NullMarked
package io.anvilpick.crashes;

import org.jspecify.annotations.NullMarked;
