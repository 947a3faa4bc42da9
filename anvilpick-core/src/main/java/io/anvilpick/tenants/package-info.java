/** Tenants of callers: API keys, priorities and allowances. */
@NullMarked
package io.anvilpick.tenants;

import org.jspecify.annotations.NullMarked;
