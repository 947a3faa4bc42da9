package io.anvilpick.claims;

import com.google.common.collect.ImmutableList;

/**
 * The replicas that vote on a share of the keys during one epoch.
 *
 * @param index number of the group
 * @param epoch rises with each change of replicas
 * @param changeId random name of the change that led to this epoch; replicas activate the claims installed under it
 * @param trustedFromMillis a key made before this wall-clock time may have been claimed in an epoch whose claims were
 *     lost; zero if none was ever lost
 * @param replicas instances of daemons; one that restarts is another instance
 */
public record ClaimGroup(
        int index, long epoch, String changeId, long trustedFromMillis, ImmutableList<String> replicas) {
    /** Returns the number of replicas that make a majority. */
    public int majority() {
        return replicas.size() / 2 + 1;
    }
}
