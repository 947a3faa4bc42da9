package io.anvilpick.messages;

import io.anvilpick.membership.MemberDigest;

/**
 * Reports the sender's state and requests state that is newer.
 *
 * @param configVersion version of the configuration in force at the sender
 * @param claimMapVersion version of the sender's claim map
 * @param leavingAsOfMillis time at which the sender's list of leaving VMs was read, in milliseconds since the Unix
 *     epoch
 * @param members some of the members in the sender's table, the sender first
 */
public record GossipRequest(long configVersion, long claimMapVersion, long leavingAsOfMillis, MemberDigest members)
        implements PeerRequest {}
