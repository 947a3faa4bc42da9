package io.anvilpick.claims;

import com.google.common.collect.ImmutableList;
import io.anvilpick.shard.Shards;
import io.anvilpick.time.TimeSource;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The claims that this daemon holds as a replica. Thread safe; each group is a shard under its own lock.
 *
 * <p>A replica votes on a group only while it is active in the group's present epoch. Sealing ends its voting in that
 * epoch for good, so that what a majority of sealed replicas hold is all that was ever granted.
 */
public final class ClaimTable {
    private final String self;
    private final TimeSource time;
    private final Shards<GroupState> groups;

    /** Claims of one group, guarded by the lock of its shard. */
    private static final class GroupState {
        private final Map<ClaimKey, Claim> claims = new HashMap<>();
        private final Map<String, Installed> installed = new HashMap<>();
        private long epoch;
        private boolean active;
        private long sealedEpoch;
    }

    /** Claims handed over under the name of a change that may or may not win. */
    private record Installed(long epoch, ImmutableList<Claim> claims) {}

    /**
     * Creates the table of the daemon instance {@code self}.
     *
     * @param groupCount number of groups in the region
     */
    public ClaimTable(String self, int groupCount, TimeSource time) {
        this.self = self;
        this.time = time;
        this.groups = Shards.create(groupCount, GroupState::new);
    }

    /** Records {@code claim} unless another call holds its key or the group stands at another epoch. */
    public Vote vote(int group, long epoch, Claim claim) {
        return groups.withShard(group, state -> {
            if (!state.active || state.epoch != epoch) {
                return new Vote.WrongEpoch(state.epoch);
            }
            Claim present = present(state, claim.key());
            if (present != null && !present.holder().equals(claim.holder())) {
                return new Vote.Taken(present);
            }
            if (present == null) {
                state.claims.put(claim.key(), claim);
            }
            return new Vote.Granted();
        });
    }

    /** Notes how the call that holds {@code key} ended; ignored if {@code holder} does not hold it here. */
    public void settle(int group, ClaimKey key, String holder, ClaimState end) {
        groups.withShard(group, state -> {
            Claim present = present(state, key);
            if (present != null && present.holder().equals(holder)) {
                state.claims.put(key, present.withState(end));
            }
            return null;
        });
    }

    /** Gives up the claim of a call that certainly did not run; ignored if {@code holder} does not hold it here. */
    public void release(int group, ClaimKey key, String holder) {
        groups.withShard(group, state -> {
            Claim present = present(state, key);
            if (present != null && present.holder().equals(holder)) {
                state.claims.remove(key);
            }
            return null;
        });
    }

    /**
     * Ends voting in {@code epoch} and returns all claims of the group.
     *
     * <p>An answer counts towards a majority only if {@link SealedGroup#participated} says that the replica stood in that epoch.
     */
    public SealedGroup seal(int group, long epoch) {
        return groups.withShard(group, state -> {
            if (state.epoch != epoch) {
                return new SealedGroup(group, epoch, false, ImmutableList.of());
            }
            boolean held = state.active || state.sealedEpoch == epoch;
            state.active = false;
            if (held) {
                state.sealedEpoch = epoch;
            }
            return new SealedGroup(group, epoch, held, held ? unforgotten(state) : ImmutableList.of());
        });
    }

    /** Keeps {@code claims} ready for the case that the change {@code changeId} takes effect as {@code epoch}. */
    public boolean install(int group, long epoch, String changeId, Collection<Claim> claims) {
        return groups.withShard(group, state -> {
            if (epoch <= state.epoch) {
                return false;
            }
            state.installed.put(changeId, new Installed(epoch, ImmutableList.copyOf(claims)));
            return true;
        });
    }

    /** Follows the map: takes up the epochs that this daemon is a replica of, and drops what it no longer holds. */
    public void apply(ClaimMap map) {
        for (ClaimGroup group : map.groups()) {
            groups.withShard(group.index(), state -> {
                apply(state, group);
                return null;
            });
        }
    }

    /** Forgets claims whose time is over; returns how many remain. */
    public long removeExpired() {
        long now = time.epochMillis();
        long[] remaining = new long[1];
        groups.forEach(state -> {
            state.claims.values().removeIf(claim -> claim.expiresAtMillis() <= now);
            remaining[0] += state.claims.size();
        });
        return remaining[0];
    }

    private void apply(GroupState state, ClaimGroup group) {
        if (group.epoch() <= state.epoch) {
            return;
        }
        Installed installed = state.installed.get(group.changeId());
        state.claims.clear();
        state.installed.values().removeIf(each -> each.epoch() <= group.epoch());
        state.epoch = group.epoch();
        state.active = installed != null && group.replicas().contains(self);
        if (state.active) {
            for (Claim claim : installed.claims()) {
                state.claims.put(claim.key(), claim);
            }
        }
    }

    private @Nullable Claim present(GroupState state, ClaimKey key) {
        Claim claim = state.claims.get(key);
        if (claim != null && claim.expiresAtMillis() <= time.epochMillis()) {
            state.claims.remove(key);
            return null;
        }
        return claim;
    }

    private ImmutableList<Claim> unforgotten(GroupState state) {
        long now = time.epochMillis();
        return state.claims.values().stream()
                .filter(claim -> claim.expiresAtMillis() > now)
                .collect(ImmutableList.toImmutableList());
    }
}
