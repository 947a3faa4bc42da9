package io.anvilpick.claims.replication;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.anvilpick.claims.GroupPlanner;
import io.anvilpick.claims.ReplicaCandidate;
import io.anvilpick.hash.Rendezvous;
import io.anvilpick.membership.Liveness;
import io.anvilpick.membership.Member;
import io.anvilpick.membership.MemberTable;
import java.util.Optional;

/** Derives the input of {@link GroupPlanner} for one region from the member table. */
final class RegionFleet {
    private static final String MOVER_RANKING_KEY = "mover of claim groups";

    private RegionFleet() {}

    static GroupPlanner.Fleet of(MemberTable members, String region) {
        ImmutableList.Builder<ReplicaCandidate> candidates = ImmutableList.builder();
        ImmutableSet.Builder<String> reachable = ImmutableSet.builder();
        ImmutableSet.Builder<String> gone = ImmutableSet.builder();
        for (MemberTable.MemberStatus status : members.all()) {
            Member member = status.member();
            if (!member.region().equals(region)) {
                continue;
            }
            switch (status.liveness()) {
                case LIVE -> {
                    candidates.add(new ReplicaCandidate(member.instance(), member.zone()));
                    reachable.add(member.instance());
                }
                case LEAVING -> reachable.add(member.instance());
                case SUSPECT -> {}
                case GONE -> gone.add(member.instance());
            }
        }
        return new GroupPlanner.Fleet(candidates.build(), reachable.build(), gone.build());
    }

    /**
     * Returns the one daemon of the region that moves groups, according to {@code members}; empty if no daemon is live.
     */
    static Optional<String> mover(MemberTable members, String region) {
        ImmutableList<String> live = members.withLiveness(ImmutableSet.of(Liveness.LIVE)).stream()
                .filter(member -> member.region().equals(region))
                .map(Member::instance)
                .collect(ImmutableList.toImmutableList());
        return Rendezvous.ranked(MOVER_RANKING_KEY, live, instance -> instance).stream()
                .findFirst();
    }
}
