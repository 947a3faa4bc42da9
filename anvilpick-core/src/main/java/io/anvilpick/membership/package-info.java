/**
 * The table of daemons and their liveness, and the choice of the daemons that callers use.
 *
 * <p>Begin with {@link io.anvilpick.membership.MemberTable}.
 */
@NullMarked
package io.anvilpick.membership;

import org.jspecify.annotations.NullMarked;
