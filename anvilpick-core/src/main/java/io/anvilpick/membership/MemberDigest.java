package io.anvilpick.membership;

import com.google.common.collect.ImmutableList;

/**
 * What one daemon tells another of the members that it knows.
 *
 * <p>Most rows are beats alone, a third of the size. A member that is leaving is always told in full, so that no beat
 * overtakes the word that it leaves.
 *
 * @param members members in full, the teller first
 * @param heartbeats beats of further members, none of them leaving
 */
public record MemberDigest(ImmutableList<Member> members, ImmutableList<MemberHeartbeat> heartbeats) {
    /** Returns a digest that tells in full of {@code members} alone. */
    public static MemberDigest of(ImmutableList<Member> members) {
        return new MemberDigest(members, ImmutableList.of());
    }

    /** Returns whether the digest tells of others than its teller. */
    public boolean hasOtherMembers() {
        return members.size() + heartbeats.size() > 1;
    }
}
