package io.anvilpick.daemon.frontend;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import io.anvilpick.dispatch.TargetView;

/**
 * What a daemon says of itself.
 *
 * @param instance its instance
 * @param zone its availability zone
 * @param leaving whether it is shutting down
 * @param configVersion version of the configuration in force; zero for none
 * @param claimMapVersion version of the claim map
 * @param members the members it knows, with what it knows of their life
 * @param services targets of each service in use
 */
public record StatusPage(
        String instance,
        String zone,
        boolean leaving,
        long configVersion,
        long claimMapVersion,
        ImmutableList<MemberLine> members,
        ImmutableSortedMap<String, ImmutableList<TargetView>> services) {
    /** A member as shown. */
    public record MemberLine(String instance, String callAddress, String zone, String liveness) {}
}
