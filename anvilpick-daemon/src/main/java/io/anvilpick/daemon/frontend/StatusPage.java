package io.anvilpick.daemon.frontend;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import io.anvilpick.dispatch.TargetView;

/**
 * The content of the status page of a daemon.
 *
 * @param instance instance of the daemon
 * @param zone availability zone of the daemon
 * @param leaving whether the daemon is shutting down
 * @param configVersion version of the active configuration; zero if there is none
 * @param claimMapVersion version of the claim map
 * @param members members in its member table with their liveness
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
    /** A line of the status page about one member. */
    public record MemberLine(String instance, String callAddress, String zone, String liveness) {}
}
