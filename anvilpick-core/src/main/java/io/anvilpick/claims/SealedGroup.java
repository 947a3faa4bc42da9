package io.anvilpick.claims;

import com.google.common.collect.ImmutableList;

/**
 * A replica's confirmation that it no longer votes in an epoch, with all claims that it holds.
 *
 * @param group index of the group
 * @param epoch the sealed epoch
 * @param participated whether the replica was a voter in that epoch; otherwise this confirmation does not count towards
 *     a majority
 * @param claims every unexpired claim that the replica holds for the group; empty if it was not a voter
 */
public record SealedGroup(int group, long epoch, boolean participated, ImmutableList<Claim> claims) {}
