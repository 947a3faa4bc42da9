package io.anvilpick.daemon.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.anvilpick.membership.Liveness;
import io.anvilpick.membership.Member;
import io.anvilpick.membership.MemberTable;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.random.RandomGenerator;

/** Draws the members that a gossip message tells of: this daemon first, then a bounded number of others. Thread safe. */
public final class MemberSample {
    private static final int MOST_OTHERS = 16;
    private static final ImmutableSet<Liveness> TOLD = ImmutableSet.of(Liveness.LIVE, Liveness.LEAVING);

    private final MemberTable members;
    private final RandomGenerator random;

    /** Creates a sample of {@code members}; {@code random} must be thread safe. */
    public MemberSample(MemberTable members, RandomGenerator random) {
        this.members = members;
        this.random = random;
    }

    /** Returns the members to tell of. */
    public ImmutableList<Member> members() {
        return atMost(MOST_OTHERS + 1);
    }

    /** Returns this daemon and at most {@code most - 1} others. */
    public ImmutableList<Member> atMost(int most) {
        ImmutableList.Builder<Member> sample = ImmutableList.builder();
        members.own().ifPresent(sample::add);
        sample.addAll(others(Math.clamp(most - 1L, 0, MOST_OTHERS)));
        return sample.build();
    }

    /** Returns at most {@code most} members other than this daemon that are live or leaving, drawn at random. */
    public ImmutableList<Member> others(int most) {
        List<Member> others = new ArrayList<>(members.withLiveness(TOLD));
        members.own()
                .ifPresent(own -> others.removeIf(member -> member.instance().equals(own.instance())));
        Collections.shuffle(others, new Random(random.nextLong()));
        return ImmutableList.copyOf(others.subList(0, Math.min(most, others.size())));
    }
}
