package io.anvilpick.calls;

import com.google.common.collect.ImmutableSet;
import io.anvilpick.dispatch.Assignment;

/**
 * What came of sending a call once, and of its hedge if there was one.
 *
 * @param assignment where the reply that counts came from
 * @param reply what came back
 * @param targets ids of the targets that it was sent to
 */
record Attempt(Assignment assignment, TargetReply reply, ImmutableSet<String> targets) {}
