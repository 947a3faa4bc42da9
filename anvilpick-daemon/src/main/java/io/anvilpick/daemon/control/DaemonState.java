package io.anvilpick.daemon.control;

import io.anvilpick.calls.DispatcherRegistry;
import io.anvilpick.claims.replication.LatestClaimMap;
import io.anvilpick.config.ActiveConfiguration;
import io.anvilpick.membership.LeavingList;
import io.anvilpick.membership.Liveness;
import io.anvilpick.membership.Member;
import io.anvilpick.membership.MemberTable;
import java.util.concurrent.locks.ReentrantLock;

/** The state that a daemon shares with its peers: configuration, claim map, members and leaving VMs. Thread safe. */
public final class DaemonState {
    private final ReentrantLock lock = new ReentrantLock();
    private final ActiveConfiguration activeConfiguration;
    private final LatestClaimMap claimMap;
    private final MemberTable members;
    private final DispatcherRegistry dispatchers;
    private volatile LeavingList leaving = LeavingList.NONE;

    /** Creates the state from its parts, with an empty list of leaving VMs. */
    public DaemonState(
            ActiveConfiguration activeConfiguration,
            LatestClaimMap claimMap,
            MemberTable members,
            DispatcherRegistry dispatchers) {
        this.activeConfiguration = activeConfiguration;
        this.claimMap = claimMap;
        this.members = members;
        this.dispatchers = dispatchers;
    }

    /** Returns the active configuration. */
    public ActiveConfiguration activeConfiguration() {
        return activeConfiguration;
    }

    /** Returns the latest claim map. */
    public LatestClaimMap claimMap() {
        return claimMap;
    }

    /** Returns the member table. */
    public MemberTable members() {
        return members;
    }

    /** Returns the dispatchers, which are updated from the configuration and the list of leaving VMs. */
    public DispatcherRegistry dispatchers() {
        return dispatchers;
    }

    /** Returns the latest list of leaving VMs. */
    public LeavingList leaving() {
        return leaving;
    }

    /**
     * Counts the daemons of the region that may hold connections to targets, and updates the dispatchers with the
     * count.
     */
    public void updateDaemonCount() {
        String region = members.self().map(Member::region).orElse("");
        int count = 0;
        for (MemberTable.MemberStatus status : members.all()) {
            boolean mayConnect = status.liveness() != Liveness.GONE
                    && status.member().region().equals(region);
            count += mayConnect ? 1 : 0;
        }
        dispatchers.setDaemonCount(Math.max(1, count));
    }

    /** Replaces the list of leaving VMs by {@code list} if it was read later than the present one. */
    public void updateLeavingIfNewer(LeavingList list) {
        lock.lock();
        try {
            if (list.asOfMillis() <= leaving.asOfMillis()) {
                return;
            }
            boolean changed = !list.addresses().equals(leaving.addresses());
            leaving = list;
            if (changed) {
                dispatchers.setLeavingAddresses(list.addresses());
            }
        } finally {
            lock.unlock();
        }
    }
}
