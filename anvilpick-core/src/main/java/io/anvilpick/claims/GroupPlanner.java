package io.anvilpick.claims;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/** Decides whether and how a group changes its replicas. Pure. */
public final class GroupPlanner {
    private GroupPlanner() {}

    /**
     * What is known of the daemons of the region.
     *
     * @param candidates daemons that are live and not leaving
     * @param reachable instances that answer, leaving ones among them
     * @param gone instances that certainly run no more: replaced under their address, refused there, or off the list
     */
    public record Fleet(
            ImmutableList<ReplicaCandidate> candidates, ImmutableSet<String> reachable, ImmutableSet<String> gone) {}

    /** Returns what is to be done about {@code group}. */
    public static GroupChange plan(ClaimGroup group, Fleet fleet) {
        ImmutableList<String> wanted = ReplicaPlacement.choose(group.index(), group.replicas(), fleet.candidates());
        if (wanted.isEmpty() || sameMembers(wanted, group.replicas())) {
            return new GroupChange.Keep();
        }
        if (count(group.replicas(), fleet.reachable()) >= group.majority()) {
            return new GroupChange.Move(wanted);
        }
        int mayRemain = group.replicas().size() - count(group.replicas(), fleet.gone());
        return mayRemain < group.majority() ? new GroupChange.Restart(wanted) : new GroupChange.Wait();
    }

    private static boolean sameMembers(Collection<String> a, Collection<String> b) {
        return new HashSet<>(a).equals(new HashSet<>(b));
    }

    private static int count(Collection<String> replicas, Set<String> among) {
        int count = 0;
        for (String replica : replicas) {
            count += among.contains(replica) ? 1 : 0;
        }
        return count;
    }
}
