/** Allowances of tenants, which all daemons share. */
@NullMarked
package io.anvilpick.allowances;

import org.jspecify.annotations.NullMarked;
