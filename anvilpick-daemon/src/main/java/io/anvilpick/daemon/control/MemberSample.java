package io.anvilpick.daemon.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.anvilpick.membership.Liveness;
import io.anvilpick.membership.Member;
import io.anvilpick.membership.MemberDigest;
import io.anvilpick.membership.MemberHeartbeat;
import io.anvilpick.membership.MemberTable;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.random.RandomGenerator;

/**
 * Selects the peers that gossip contacts, and the members that a gossip message contains: this daemon first, then a
 * bounded number of random peers. Thread safe.
 */
public final class MemberSample {
    private static final int MAX_PEERS = 16;
    private static final int PEERS_IN_FULL = 2;
    private static final ImmutableSet<Liveness> ADVERTISED = ImmutableSet.of(Liveness.LIVE, Liveness.LEAVING);

    private final MemberTable members;
    private final RandomGenerator random;

    /** Creates a sample of {@code members}; {@code random} must be thread safe. */
    public MemberSample(MemberTable members, RandomGenerator random) {
        this.members = members;
        this.random = random;
    }

    /**
     * Returns the digest for a regular message: this daemon, a few peers and further leaving peers in full, and
     * heartbeats of further live peers.
     */
    public MemberDigest digest() {
        ImmutableList.Builder<Member> full = ImmutableList.builder();
        ImmutableList.Builder<MemberHeartbeat> heartbeats = ImmutableList.builder();
        members.self().ifPresent(full::add);
        int included = 0;
        for (Member member : randomPeers(MAX_PEERS)) {
            if (included++ < PEERS_IN_FULL || member.leaving()) {
                full.add(member);
            } else {
                heartbeats.add(new MemberHeartbeat(member.instance(), member.beat()));
            }
        }
        return new MemberDigest(full.build(), heartbeats.build());
    }

    /** Returns the digest for a message that is sent immediately after an update: this daemon alone. */
    public MemberDigest ownDigest() {
        return MemberDigest.of(members.self().map(ImmutableList::of).orElse(ImmutableList.of()));
    }

    /** Returns at most {@code max} randomly selected members other than this daemon that are live or leaving. */
    public ImmutableList<Member> randomPeers(int max) {
        List<Member> peers = new ArrayList<>(members.withLiveness(ADVERTISED));
        members.self()
                .ifPresent(own -> peers.removeIf(member -> member.instance().equals(own.instance())));
        Collections.shuffle(peers, new Random(random.nextLong()));
        return ImmutableList.copyOf(peers.subList(0, Math.min(max, peers.size())));
    }
}
