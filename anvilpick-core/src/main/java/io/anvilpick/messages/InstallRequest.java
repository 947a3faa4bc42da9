package io.anvilpick.messages;

import com.google.common.collect.ImmutableList;
import io.anvilpick.claims.Claim;

/**
 * Asks a replica to store claims, which it activates if the change of the claim map takes effect.
 *
 * @param group index of the group
 * @param epoch the epoch that the change starts
 * @param changeId ID of the change
 * @param claims claims found at the sealed replicas of the group
 */
public record InstallRequest(int group, long epoch, String changeId, ImmutableList<Claim> claims)
        implements PeerRequest {}
