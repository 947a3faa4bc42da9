/**
 * Runs calls, independent of the front end that received them: claims the idempotency key, dispatches, sends, and
 * settles the claim. Begin with {@link io.anvilpick.calls.CallRunner} and {@link io.anvilpick.calls.Sender}.
 */
@NullMarked
package io.anvilpick.calls;

import org.jspecify.annotations.NullMarked;
