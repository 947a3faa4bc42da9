package io.anvilpick.membership;

import com.google.common.collect.ImmutableList;
import io.anvilpick.shard.Shards;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/**
 * The daemons whose descriptions this daemon has received, and this daemon itself. Thread safe, in shards by instance
 * ID.
 *
 * <p>Each member increments its own heartbeat counter, and daemons pass the counters on. A member whose counter does
 * not increase for too long is suspect.
 */
public final class MemberTable {
    /** Time without an increasing heartbeat counter after which a member is suspect, in a small fleet. */
    public static final Duration MIN_SUSPECT_AFTER = Duration.ofSeconds(3);

    /**
     * Time per member in the table after which a member is suspect, in a large fleet.
     *
     * <p>A gossip message contains only some members, so heartbeats take longer to spread in a larger fleet.
     */
    public static final Duration SUSPECT_AFTER_PER_MEMBER = Duration.ofMillis(200);

    /** Time without an increasing heartbeat counter after which a suspect or gone member is removed from the table. */
    public static final Duration REMOVE_AFTER = Duration.ofMinutes(10);

    private static final int SHARDS = 16;

    private final TimeSource time;
    private final String self;
    private final AtomicInteger count = new AtomicInteger();
    private final Shards<Map<String, Row>> rows = Shards.create(SHARDS, HashMap::new);

    /**
     * Returns the time without an increasing heartbeat counter after which one of {@code members} members is suspect.
     */
    public static Duration suspectAfter(int members) {
        Duration byMembers = SUSPECT_AFTER_PER_MEMBER.multipliedBy(members);
        return byMembers.compareTo(MIN_SUSPECT_AFTER) > 0 ? byMembers : MIN_SUSPECT_AFTER;
    }

    private record Row(Member member, long beatAtNanos, boolean gone) {}

    /** A member and its liveness. */
    public record MemberStatus(Member member, Liveness liveness) {}

    /** Creates a table that contains only {@code self}, the member of this daemon. */
    public MemberTable(Member self, TimeSource time) {
        this.self = self.instance();
        this.time = time;
        merge(self);
    }

    /**
     * Adds {@code member}, or replaces its row if its heartbeat counter is greater than the recorded one.
     *
     * @return whether the table changed; false for a member that is gone
     */
    public boolean merge(Member member) {
        return rows.withShardOf(member.instance(), shard -> {
            Row row = shard.get(member.instance());
            if (row != null && (row.gone() || member.beat() <= row.member().beat())) {
                return false;
            }
            if (shard.put(member.instance(), new Row(member, time.nanos(), false)) == null) {
                count.incrementAndGet();
            }
            return true;
        });
    }

    /**
     * Merges the members and heartbeats of {@code digest}. Heartbeats of members that are not in the table are skipped.
     */
    public void merge(MemberDigest digest) {
        digest.members().forEach(this::merge);
        digest.heartbeats().forEach(this::mergeHeartbeat);
    }

    private void mergeHeartbeat(MemberHeartbeat heartbeat) {
        long now = time.nanos();
        rows.withShardOf(heartbeat.instance(), shard -> {
            Row row = shard.get(heartbeat.instance());
            if (row != null && !row.gone() && heartbeat.beat() > row.member().beat()) {
                shard.put(heartbeat.instance(), new Row(row.member().withBeat(heartbeat.beat()), now, false));
            }
            return null;
        });
    }

    /** Increments the heartbeat counter of this daemon's member. */
    public void incrementHeartbeat() {
        self().ifPresent(member -> merge(member.withBeat(member.beat() + 1)));
    }

    /** Marks this daemon's member as leaving. */
    public void markLeaving() {
        self().ifPresent(member -> merge(member.asLeaving(member.beat() + 1)));
    }

    /** Records that {@code instance} has certainly stopped. Has no effect on the member of this daemon. */
    public void markGone(String instance) {
        rows.withShardOf(instance, shard -> {
            Row row = shard.get(instance);
            if (row != null && !instance.equals(self)) {
                shard.put(instance, new Row(row.member(), row.beatAtNanos(), true));
            }
            return null;
        });
    }

    /** Returns the member of this daemon. */
    public Optional<Member> self() {
        return rows.withShardOf(
                self, shard -> Optional.ofNullable(shard.get(self)).map(Row::member));
    }

    /**
     * Returns every member in the table, in no particular order. Takes time linear in the number of members.
     *
     * <p>First removes the members that are due for removal after {@link #REMOVE_AFTER}.
     */
    public ImmutableList<MemberStatus> all() {
        long now = time.nanos();
        ImmutableList.Builder<MemberStatus> all = ImmutableList.builder();
        rows.forEach(shard -> {
            int before = shard.size();
            shard.values().removeIf(row -> isRemovable(row, now));
            count.addAndGet(shard.size() - before);
            shard.values().forEach(row -> all.add(new MemberStatus(row.member(), livenessOf(row, now))));
        });
        return all.build();
    }

    /** Returns the members whose liveness is one of {@code liveness}. */
    public ImmutableList<Member> withLiveness(Collection<Liveness> liveness) {
        ImmutableList.Builder<Member> members = ImmutableList.builder();
        for (MemberStatus status : all()) {
            if (liveness.contains(status.liveness())) {
                members.add(status.member());
            }
        }
        return members.build();
    }

    /** Returns the member with the instance ID {@code instance}; empty if it is not in the table. */
    public Optional<MemberStatus> find(String instance) {
        long now = time.nanos();
        return rows.withShardOf(instance, shard -> {
            @Nullable Row row = shard.get(instance);
            return row == null ? Optional.empty() : Optional.of(new MemberStatus(row.member(), livenessOf(row, now)));
        });
    }

    private Liveness livenessOf(Row row, long now) {
        if (row.gone()) {
            return Liveness.GONE;
        }
        boolean own = row.member().instance().equals(self);
        if (!own && now - row.beatAtNanos() > suspectAfterNanos()) {
            return Liveness.SUSPECT;
        }
        return row.member().leaving() ? Liveness.LEAVING : Liveness.LIVE;
    }

    private long suspectAfterNanos() {
        return suspectAfter(count.get()).toNanos();
    }

    private boolean isRemovable(Row row, long now) {
        return !row.member().instance().equals(self) && now - row.beatAtNanos() > REMOVE_AFTER.toNanos();
    }
}
