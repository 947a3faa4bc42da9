package io.anvilpick.membership;

import com.google.common.collect.ImmutableList;

/**
 * A part of the sender's member table, as exchanged between daemons.
 *
 * <p>Most entries are heartbeats only, which take a third of the size of a full description. A leaving member is always
 * described in full. Otherwise its heartbeat could arrive before the information that it is leaving.
 *
 * @param members full descriptions of members, the sender first
 * @param heartbeats heartbeats of further members, none of which is leaving
 */
public record MemberDigest(ImmutableList<Member> members, ImmutableList<MemberHeartbeat> heartbeats) {
    /** Returns a digest of the full descriptions {@code members}, without further heartbeats. */
    public static MemberDigest of(ImmutableList<Member> members) {
        return new MemberDigest(members, ImmutableList.of());
    }

    /** Returns whether the digest contains members other than its sender. */
    public boolean hasOtherMembers() {
        return members.size() + heartbeats.size() > 1;
    }
}
