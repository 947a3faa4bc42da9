package io.anvilpick.claims;

import com.google.common.collect.ImmutableList;

/**
 * A replica's word that it votes no more in an epoch, with all claims it holds.
 *
 * @param group number of the group
 * @param epoch the epoch that is sealed
 * @param participated whether the replica stood in that epoch, so that its word counts
 * @param claims every claim it holds
 */
public record SealedGroup(int group, long epoch, boolean participated, ImmutableList<Claim> claims) {}
