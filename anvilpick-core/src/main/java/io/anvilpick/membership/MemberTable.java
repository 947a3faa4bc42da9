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
 * The members that this daemon knows of, itself among them, in shards by instance. Thread safe.
 *
 * <p>A member's beat, which only it raises, spreads among daemons; one whose beat stands still for too long is suspect.
 */
public final class MemberTable {
    /** Time without a rising beat after which a member is suspect, in a small fleet. */
    public static final Duration MIN_SUSPECT_AFTER = Duration.ofSeconds(3);

    /** Time by which that grows with each member known, since a gossip message tells only of some. */
    public static final Duration SUSPECT_AFTER_PER_MEMBER = Duration.ofMillis(200);

    /** Time after which a member that is suspect or gone is dropped from the table. */
    public static final Duration REMOVE_AFTER = Duration.ofMinutes(10);

    private static final int SHARDS = 16;

    private final TimeSource time;
    private final String self;
    private final AtomicInteger count = new AtomicInteger();
    private final Shards<Map<String, Row>> rows = Shards.create(SHARDS, HashMap::new);

    /** Returns the time without a rising beat after which a member is suspect where {@code members} are known. */
    public static Duration suspectAfter(int members) {
        Duration byMembers = SUSPECT_AFTER_PER_MEMBER.multipliedBy(members);
        return byMembers.compareTo(MIN_SUSPECT_AFTER) > 0 ? byMembers : MIN_SUSPECT_AFTER;
    }

    private record Row(Member member, long risenAtNanos, boolean gone) {}

    /** A member and what is known of its life. */
    public record MemberStatus(Member member, Liveness liveness) {}

    /** Creates a table that holds {@code self} alone. */
    public MemberTable(Member self, TimeSource time) {
        this.self = self.instance();
        this.time = time;
        merge(self);
    }

    /** Takes in a description; returns whether it was news. */
    public boolean merge(Member member) {
        return rows.withShardOf(member.instance(), shard -> {
            Row known = shard.get(member.instance());
            if (known != null
                    && (known.gone() || member.beat() <= known.member().beat())) {
                return false;
            }
            if (shard.put(member.instance(), new Row(member, time.nanos(), false)) == null) {
                count.incrementAndGet();
            }
            return true;
        });
    }

    /** Takes in all that {@code digest} tells; beats of members that are not known are passed over. */
    public void merge(MemberDigest digest) {
        digest.members().forEach(this::merge);
        digest.heartbeats().forEach(this::raise);
    }

    private void raise(MemberHeartbeat told) {
        long now = time.nanos();
        rows.withShardOf(told.instance(), shard -> {
            Row known = shard.get(told.instance());
            if (known != null && !known.gone() && told.beat() > known.member().beat()) {
                shard.put(told.instance(), new Row(known.member().withBeat(told.beat()), now, false));
            }
            return null;
        });
    }

    /** Raises the own beat. */
    public void incrementHeartbeat() {
        self().ifPresent(member -> merge(member.withBeat(member.beat() + 1)));
    }

    /** Marks the own member as leaving. */
    public void markLeaving() {
        self().ifPresent(member -> merge(member.asLeaving(member.beat() + 1)));
    }

    /** Notes that {@code instance} certainly runs no more. */
    public void markGone(String instance) {
        rows.withShardOf(instance, shard -> {
            Row known = shard.get(instance);
            if (known != null && !instance.equals(self)) {
                shard.put(instance, new Row(known.member(), known.risenAtNanos(), true));
            }
            return null;
        });
    }

    /** Returns the own member. */
    public Optional<Member> self() {
        return rows.withShardOf(
                self, shard -> Optional.ofNullable(shard.get(self)).map(Row::member));
    }

    /** Returns every member known, in no order, in O(members). */
    public ImmutableList<MemberStatus> all() {
        long now = time.nanos();
        ImmutableList.Builder<MemberStatus> all = ImmutableList.builder();
        rows.forEach(shard -> {
            int before = shard.size();
            shard.values().removeIf(row -> isForgotten(row, now));
            count.addAndGet(shard.size() - before);
            shard.values().forEach(row -> all.add(new MemberStatus(row.member(), livenessOf(row, now))));
        });
        return all.build();
    }

    /** Returns the members of {@code liveness}. */
    public ImmutableList<Member> withLiveness(Collection<Liveness> liveness) {
        ImmutableList.Builder<Member> members = ImmutableList.builder();
        for (MemberStatus known : all()) {
            if (liveness.contains(known.liveness())) {
                members.add(known.member());
            }
        }
        return members.build();
    }

    /** Returns the member of that instance, if known. */
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
        if (!own && now - row.risenAtNanos() > suspectAfterNanos()) {
            return Liveness.SUSPECT;
        }
        return row.member().leaving() ? Liveness.LEAVING : Liveness.LIVE;
    }

    private long suspectAfterNanos() {
        return suspectAfter(count.get()).toNanos();
    }

    private boolean isForgotten(Row row, long now) {
        return !row.member().instance().equals(self) && now - row.risenAtNanos() > REMOVE_AFTER.toNanos();
    }
}
