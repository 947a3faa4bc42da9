package io.anvilpick.membership;

import com.google.common.collect.ImmutableSet;

/**
 * The hosts or addresses that the platform lists as leaving, as some daemon read it.
 *
 * @param asOfMillis when it was read, in milliseconds since the Unix epoch
 * @param addresses hosts, or hosts with ports
 */
public record LeavingList(long asOfMillis, ImmutableSet<String> addresses) {
    /** The list before the first reading. */
    public static final LeavingList NONE = new LeavingList(0, ImmutableSet.of());
}
