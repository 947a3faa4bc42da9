package io.anvilpick.messages;

import com.google.common.collect.ImmutableList;
import io.anvilpick.membership.Member;

/**
 * Tells what the sender knows and asks for what it lacks.
 *
 * @param configVersion version of the configuration in force at the sender
 * @param claimMapVersion version of the sender's claim map
 * @param leavingAsOfMillis when the list of leaving VMs that the sender knows was read
 * @param members some of the members that the sender knows, itself among them
 */
public record GossipRequest(
        long configVersion, long claimMapVersion, long leavingAsOfMillis, ImmutableList<Member> members)
        implements PeerRequest {}
