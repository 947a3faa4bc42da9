package io.anvilpick.claims;

import com.google.common.collect.ImmutableList;
import io.anvilpick.shard.Shards;
import io.anvilpick.time.TimeSource;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The claims that this daemon holds as a replica. Thread safe. Each group is a shard under its own lock.
 *
 * <p>A replica votes on claims of a group only while it is active in the group's current epoch. Sealing permanently
 * ends its voting in that epoch. The claims at any majority of sealed replicas therefore include every claim that was
 * won in the epoch.
 */
public final class ClaimTable {
    private final String self;
    private final TimeSource time;
    private final Shards<GroupState> groups;

    /** State of one group, guarded by the lock of its shard. */
    private static final class GroupState {
        private final Map<ClaimKey, Claim> claims = new HashMap<>();
        private final Map<String, Installed> installed = new HashMap<>();
        private long epoch;
        private boolean active;
        private long sealedEpoch;
    }

    /** Claims installed for a change of the claim map that may or may not take effect. */
    private record Installed(long epoch, ImmutableList<Claim> claims) {}

    /**
     * Creates the table of the daemon with the instance ID {@code self}.
     *
     * @param groupCount number of groups in the region
     */
    public ClaimTable(String self, int groupCount, TimeSource time) {
        this.self = self;
        this.time = time;
        this.groups = Shards.create(groupCount, GroupState::new);
    }

    /**
     * Votes on {@code claim}, and records it if the vote is {@link Vote.Granted}.
     *
     * <p>The vote is granted unless another call holds the key or this replica does not vote in {@code epoch}. A vote
     * is granted again for the call that already holds the key.
     */
    public Vote vote(int group, long epoch, Claim claim) {
        return groups.withShard(group, state -> {
            if (!state.active || state.epoch != epoch) {
                return new Vote.WrongEpoch(state.epoch);
            }
            Claim existing = find(state, claim.key());
            if (existing != null && !existing.holder().equals(claim.holder())) {
                return new Vote.Taken(existing);
            }
            if (existing == null) {
                state.claims.put(claim.key(), claim);
            }
            return new Vote.Granted();
        });
    }

    /**
     * Records the final state of the call that holds {@code key}.
     *
     * <p>Does nothing if {@code holder} does not hold the key at this replica.
     */
    public void settle(int group, ClaimKey key, String holder, ClaimState finalState) {
        groups.withShard(group, state -> {
            Claim existing = find(state, key);
            if (existing != null && existing.holder().equals(holder)) {
                state.claims.put(key, existing.withState(finalState));
            }
            return null;
        });
    }

    /**
     * Removes the claim of a call that certainly did not run.
     *
     * <p>Does nothing if {@code holder} does not hold the key at this replica.
     */
    public void release(int group, ClaimKey key, String holder) {
        groups.withShard(group, state -> {
            Claim existing = find(state, key);
            if (existing != null && existing.holder().equals(holder)) {
                state.claims.remove(key);
            }
            return null;
        });
    }

    /**
     * Ends voting in {@code epoch} and returns all claims of the group. Has no effect if the group is in another epoch.
     *
     * <p>The result counts towards a majority only if {@link SealedGroup#participated} is true.
     */
    public SealedGroup seal(int group, long epoch) {
        return groups.withShard(group, state -> {
            if (state.epoch != epoch) {
                return new SealedGroup(group, epoch, false, ImmutableList.of());
            }
            boolean participated = state.active || state.sealedEpoch == epoch;
            state.active = false;
            if (participated) {
                state.sealedEpoch = epoch;
            }
            return new SealedGroup(group, epoch, participated, participated ? unexpired(state) : ImmutableList.of());
        });
    }

    /**
     * Stores {@code claims} for activation if the change {@code changeId} takes effect as {@code epoch}.
     *
     * @return whether the claims were stored; false if the group has reached {@code epoch} or a later one
     */
    public boolean install(int group, long epoch, String changeId, Collection<Claim> claims) {
        return groups.withShard(group, state -> {
            if (epoch <= state.epoch) {
                return false;
            }
            state.installed.put(changeId, new Installed(epoch, ImmutableList.copyOf(claims)));
            return true;
        });
    }

    /**
     * Moves each group to its epoch in {@code map} unless the group has reached it already.
     *
     * <p>If this daemon is a replica of a new epoch and has the claims installed for it, it activates these claims and
     * votes in that epoch. All other claims of the group are dropped.
     */
    public void apply(ClaimMap map) {
        for (ClaimGroup group : map.groups()) {
            groups.withShard(group.index(), state -> {
                apply(state, group);
                return null;
            });
        }
    }

    /** Removes expired claims and returns the number of claims that remain. */
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

    private @Nullable Claim find(GroupState state, ClaimKey key) {
        Claim claim = state.claims.get(key);
        if (claim != null && claim.expiresAtMillis() <= time.epochMillis()) {
            state.claims.remove(key);
            return null;
        }
        return claim;
    }

    private ImmutableList<Claim> unexpired(GroupState state) {
        long now = time.epochMillis();
        return state.claims.values().stream()
                .filter(claim -> claim.expiresAtMillis() > now)
                .collect(ImmutableList.toImmutableList());
    }
}
