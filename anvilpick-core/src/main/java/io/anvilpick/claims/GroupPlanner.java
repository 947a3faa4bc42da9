package io.anvilpick.claims;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/** Decides whether and how a group changes its replicas. All methods are pure functions. */
public final class GroupPlanner {
    private GroupPlanner() {}

    /**
     * The state of the daemons of a region, as observed by the planning daemon.
     *
     * @param candidates daemons that are live and not leaving
     * @param reachable instances that answer requests, including those that are leaving
     * @param gone instances that have certainly stopped: another instance uses their address, or a connection to it was
     *     refused; a replica that is neither reachable nor gone may still be running
     */
    public record Fleet(
            ImmutableList<ReplicaCandidate> candidates, ImmutableSet<String> reachable, ImmutableSet<String> gone) {}

    /** Returns the change that {@code group} requires in the present state of {@code fleet}. */
    public static GroupChange plan(ClaimGroup group, Fleet fleet) {
        ImmutableList<String> replicas = ReplicaPlacement.choose(group.index(), group.replicas(), fleet.candidates());
        if (replicas.isEmpty() || sameElements(replicas, group.replicas())) {
            return new GroupChange.Keep();
        }
        if (count(group.replicas(), fleet.reachable()) >= group.majority()) {
            return new GroupChange.Move(replicas);
        }
        int possiblyRunning = group.replicas().size() - count(group.replicas(), fleet.gone());
        return possiblyRunning < group.majority() ? new GroupChange.Restart(replicas) : new GroupChange.Wait();
    }

    private static boolean sameElements(Collection<String> a, Collection<String> b) {
        return new HashSet<>(a).equals(new HashSet<>(b));
    }

    private static int count(Collection<String> replicas, Set<String> instances) {
        int count = 0;
        for (String replica : replicas) {
            count += instances.contains(replica) ? 1 : 0;
        }
        return count;
    }
}
