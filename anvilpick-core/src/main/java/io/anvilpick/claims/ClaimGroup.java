package io.anvilpick.claims;

import com.google.common.collect.ImmutableList;

/**
 * The replicas that vote on the claims of one share of the keys during one epoch.
 *
 * @param index index of the group within the claim map
 * @param epoch number of the epoch, which increases with each change of replicas
 * @param changeId random ID of the change that started this epoch; replicas activate the claims installed under it
 * @param trustedFromMillis wall-clock time in milliseconds since the Unix epoch; a key created before it may have been
 *     claimed in an epoch whose claims were lost; zero if no claims were ever lost
 * @param replicas instance IDs of the daemons that are replicas; a daemon that restarts gets a new instance ID
 */
public record ClaimGroup(
        int index, long epoch, String changeId, long trustedFromMillis, ImmutableList<String> replicas) {
    /** Returns the smallest number of replicas that is a majority. */
    public int majority() {
        return replicas.size() / 2 + 1;
    }
}
