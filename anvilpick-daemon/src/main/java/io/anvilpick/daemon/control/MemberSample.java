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

/** Draws the members that a gossip message tells of: this daemon first, then a bounded number of others. Thread safe. */
public final class MemberSample {
    private static final int MOST_OTHERS = 16;
    private static final int OTHERS_IN_FULL = 2;
    private static final ImmutableSet<Liveness> TOLD = ImmutableSet.of(Liveness.LIVE, Liveness.LEAVING);

    private final MemberTable members;
    private final RandomGenerator random;

    /** Creates a sample of {@code members}; {@code random} must be thread safe. */
    public MemberSample(MemberTable members, RandomGenerator random) {
        this.members = members;
        this.random = random;
    }

    /** Returns what a regular message tells: this daemon and a few others in full, and beats of further ones. */
    public MemberDigest digest() {
        ImmutableList.Builder<Member> full = ImmutableList.builder();
        ImmutableList.Builder<MemberHeartbeat> beats = ImmutableList.builder();
        members.self().ifPresent(full::add);
        int told = 0;
        for (Member member : others(MOST_OTHERS)) {
            if (told++ < OTHERS_IN_FULL || member.leaving()) {
                full.add(member);
            } else {
                beats.add(new MemberHeartbeat(member.instance(), member.beat()));
            }
        }
        return new MemberDigest(full.build(), beats.build());
    }

    /** Returns what a message tells that carries news in a hurry: this daemon alone. */
    public MemberDigest ownDigest() {
        return MemberDigest.of(members.self().map(ImmutableList::of).orElse(ImmutableList.of()));
    }

    /** Returns at most {@code most} members other than this daemon that are live or leaving, drawn at random. */
    public ImmutableList<Member> others(int most) {
        List<Member> others = new ArrayList<>(members.withLiveness(TOLD));
        members.self()
                .ifPresent(own -> others.removeIf(member -> member.instance().equals(own.instance())));
        Collections.shuffle(others, new Random(random.nextLong()));
        return ImmutableList.copyOf(others.subList(0, Math.min(most, others.size())));
    }
}
