package io.anvilpick.membership;

import com.google.common.collect.ImmutableSet;

/**
 * The hosts or addresses that the platform lists as leaving, as read by one of the daemons.
 *
 * @param asOfMillis time at which the list was read, in milliseconds since the Unix epoch
 * @param addresses hosts, or hosts with ports
 */
public record LeavingList(long asOfMillis, ImmutableSet<String> addresses) {
    /** The empty list that is used before the first read. */
    public static final LeavingList NONE = new LeavingList(0, ImmutableSet.of());
}
