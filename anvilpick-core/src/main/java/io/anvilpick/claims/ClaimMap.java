package io.anvilpick.claims;

import com.google.common.collect.ImmutableList;

/**
 * All claim groups of a region. The platform stores the map as one value, which is changed by compare-and-swap.
 *
 * @param version version number, which increases by one with each change; zero for the map that was never written
 * @param groups groups in the order of their index
 */
public record ClaimMap(long version, ImmutableList<ClaimGroup> groups) {
    /** Number of groups in a region. */
    public static final int GROUP_COUNT = 64;

    /** The map before the first change. */
    public static final ClaimMap EMPTY = new ClaimMap(0, ImmutableList.of());

    /** Returns whether the map has no groups, as before its first change. */
    public boolean isEmpty() {
        return groups.isEmpty();
    }

    /** Returns the group that votes on {@code key}. The map must not be empty. */
    public ClaimGroup groupOf(ClaimKey key) {
        return groups.get(key.groupOf(groups.size()));
    }
}
