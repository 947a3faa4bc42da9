package io.anvilpick.daemon.control;

import io.anvilpick.calls.DispatcherRegistry;
import io.anvilpick.claims.replication.LatestClaimMap;
import io.anvilpick.config.ActiveConfiguration;
import io.anvilpick.membership.LeavingList;
import io.anvilpick.membership.Liveness;
import io.anvilpick.membership.Member;
import io.anvilpick.membership.MemberTable;
import java.util.concurrent.locks.ReentrantLock;

/** All that this daemon knows and passes on: configuration, claim map, members, and VMs that leave. Thread safe. */
public final class DaemonState {
    private final ReentrantLock lock = new ReentrantLock();
    private final ActiveConfiguration activeConfiguration;
    private final LatestClaimMap claimMap;
    private final MemberTable members;
    private final DispatcherRegistry dispatchers;
    private volatile LeavingList leaving = LeavingList.NONE;

    /** Creates a holder of what the given parts know. */
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

    /** Returns the configuration in force. */
    public ActiveConfiguration activeConfiguration() {
        return activeConfiguration;
    }

    /** Returns the claim map known. */
    public LatestClaimMap claimMap() {
        return claimMap;
    }

    /** Returns the members known. */
    public MemberTable members() {
        return members;
    }

    /** Returns the dispatchers, which follow the configuration and the list of VMs that leave. */
    public DispatcherRegistry dispatchers() {
        return dispatchers;
    }

    /** Returns the latest list of VMs that leave. */
    public LeavingList leaving() {
        return leaving;
    }

    /** Counts the daemons of the region that may hold connections to targets, and tells the dispatchers. */
    public void updateDaemonCount() {
        String region = members.self().map(Member::region).orElse("");
        int count = 0;
        for (MemberTable.MemberStatus known : members.all()) {
            boolean mayConnect =
                    known.liveness() != Liveness.GONE && known.member().region().equals(region);
            count += mayConnect ? 1 : 0;
        }
        dispatchers.setDaemonCount(Math.max(1, count));
    }

    /** Takes up {@code list} if it is later than the one known. */
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
