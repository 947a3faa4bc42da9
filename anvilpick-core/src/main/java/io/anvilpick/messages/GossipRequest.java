package io.anvilpick.messages;

import io.anvilpick.membership.MemberDigest;

/**
 * Tells what the sender knows and asks for what it lacks.
 *
 * @param configVersion version of the configuration in force at the sender
 * @param claimMapVersion version of the sender's claim map
 * @param leavingAsOfMillis when the list of leaving VMs that the sender knows was read
 * @param members some of the members that the sender knows, itself first
 */
public record GossipRequest(long configVersion, long claimMapVersion, long leavingAsOfMillis, MemberDigest members)
        implements PeerRequest {}
