/**
 * Which daemons are live, which of them callers are sent to, and who holds which duty.
 */
@NullMarked
package io.anvilpick.membership;

import org.jspecify.annotations.NullMarked;
