package io.anvilpick.claims.replication;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Lists;
import io.anvilpick.claims.ClaimGroup;
import io.anvilpick.claims.ClaimMap;
import io.anvilpick.claims.GroupChange;
import io.anvilpick.claims.GroupPlanner;
import io.anvilpick.config.ConfigurationException;
import io.anvilpick.membership.MemberTable;
import io.anvilpick.platform.PlatformException;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * Moves groups of claims when daemons come and go. Used by one thread.
 *
 * <p>A move seals the old epoch at a majority of its replicas, hands all claims found there to the new replicas, and
 * then writes the map by compare-and-swap. Whoever else moves the same group loses at that write, and what it installed
 * is never activated.
 */
public final class GroupMover {
    /** Groups whose claims wait together, from their seal to the write of the map. */
    private static final int GROUPS_AT_ONCE = 16;

    /** A platform that takes longer to answer a read is not trusted to take the write that ends a move. */
    private static final Duration FAST_READ = Duration.ofMillis(250);

    private final String self;
    private final String region;
    private final MemberTable members;
    private final LatestClaimMap maps;
    private final ClaimMapStore store;
    private final ReplicaClient replicas;
    private final TimeSource time;
    private final RandomGenerator random;
    private final Runnable onMapWritten;

    /** How a step ended, for the log. */
    public record Step(int moved, int restarted, int waiting, long version) {
        /** Returns whether there was nothing to do. */
        public boolean isIdle() {
            return moved + restarted + waiting == 0;
        }

        private Step plus(List<Planned> tried, ImmutableList<ClaimGroup> arrived, long nextVersion) {
            Set<Integer> indexes = arrived.stream().map(ClaimGroup::index).collect(Collectors.toSet());
            int restarts = (int) tried.stream()
                    .filter(planned -> planned.change() instanceof GroupChange.Restart)
                    .filter(planned -> indexes.contains(planned.group().index()))
                    .count();
            return new Step(
                    moved + arrived.size() - restarts,
                    restarted + restarts,
                    waiting + tried.size() - arrived.size(),
                    nextVersion);
        }
    }

    private record Planned(ClaimGroup group, GroupChange change) {}

    private GroupMover(Builder builder) {
        this.self = builder.self;
        this.region = builder.region;
        this.members = builder.members;
        this.maps = builder.maps;
        this.store = builder.store;
        this.replicas = builder.replicas;
        this.time = builder.time;
        this.random = builder.random;
        this.onMapWritten = builder.onMapWritten;
    }

    /** Returns a builder for the mover of the daemon instance {@code self} in {@code region}. */
    public static Builder builder(String self, String region) {
        return new Builder(self, region);
    }

    /**
     * Carries out what has to be done now, blocking until it is done or has failed.
     *
     * @throws PlatformException if the platform failed; the step may be tried again
     */
    public Step step() throws PlatformException, ConfigurationException, InterruptedException {
        Step idle = new Step(0, 0, 0, maps.current().version());
        if (!RegionFleet.mover(members, region).equals(Optional.of(self))) {
            return idle;
        }
        GroupPlanner.Fleet fleet = RegionFleet.of(members, region);
        if (fleet.candidates().isEmpty() || isSettled(maps.current(), fleet)) {
            return idle;
        }
        long startNanos = time.nanos();
        ClaimMapStore.Stored stored = store.load();
        boolean fast = time.nanos() - startNanos <= FAST_READ.toNanos();
        if (maps.updateIfNewer(stored.map())) {
            // Perhaps the own last write, whose answer got lost; its groups wait for the others to hear of it.
            onMapWritten.run();
            return idle;
        }
        if (stored.map().version() < maps.current().version()) {
            // The platform holds an older map than this fleet has seen: a restored copy. It must not be built upon.
            throw new ConfigurationException(
                    "claim map: version " + stored.map().version() + " in the platform is older than version "
                            + maps.current().version());
        }
        return change(stored, fleet, fast);
    }

    private static boolean isSettled(ClaimMap map, GroupPlanner.Fleet fleet) {
        return !map.isEmpty()
                && planAll(map, fleet).stream().allMatch(planned -> planned.change() instanceof GroupChange.Keep);
    }

    /** Writes the map after each few groups, since a group that is sealed serves no call until its new epoch is known. */
    private Step change(ClaimMapStore.Stored stored, GroupPlanner.Fleet fleet, boolean fast)
            throws PlatformException, InterruptedException {
        List<Planned> due = new ArrayList<>();
        int waiting = 0;
        for (Planned planned : planAll(stored.map(), fleet)) {
            if (planned.change() instanceof GroupChange.Keep) {
                continue;
            }
            if (mustWait(planned, fleet, fast)) {
                waiting++;
                continue;
            }
            due.add(planned);
        }
        Step step = new Step(0, 0, waiting, stored.map().version());
        ClaimMapStore.Stored latest = stored;
        for (List<Planned> few : Lists.partition(due, GROUPS_AT_ONCE)) {
            ImmutableList<ClaimGroup> changed = transfer(few, fleet);
            Optional<ClaimMapStore.Stored> written = write(latest, changed);
            if (written.isEmpty()) {
                return step;
            }
            latest = written.get();
            step = step.plus(few, changed, latest.map().version());
        }
        return step;
    }

    private static boolean mustWait(Planned planned, GroupPlanner.Fleet fleet, boolean fast) {
        return switch (planned.change()) {
            case GroupChange.Keep ignored -> false;
            case GroupChange.Wait ignored -> true;
            case GroupChange.Move ignored -> !fast && !isInDanger(planned.group(), fleet);
            case GroupChange.Restart ignored -> false;
        };
    }

    /** Transfers all of {@code few} side by side; returns the groups that arrived. */
    private ImmutableList<ClaimGroup> transfer(List<Planned> few, GroupPlanner.Fleet fleet)
            throws InterruptedException {
        GroupTransfer transfer =
                new GroupTransfer(replicas, time, Long.toHexString(random.nextLong()), fleet.reachable());
        List<CompletableFuture<Optional<ClaimGroup>>> running = new ArrayList<>();
        for (Planned planned : few) {
            ClaimGroup group = planned.group();
            switch (planned.change()) {
                case GroupChange.Keep ignored -> {}
                case GroupChange.Wait ignored -> {}
                case GroupChange.Move move -> running.add(transfer.move(group, move.replicas()));
                case GroupChange.Restart restart -> running.add(transfer.restart(group, restart.replicas()));
            }
        }
        ImmutableList.Builder<ClaimGroup> arrived = ImmutableList.builder();
        for (CompletableFuture<Optional<ClaimGroup>> each : running) {
            try {
                each.get().ifPresent(arrived::add);
            } catch (ExecutionException e) {
                throw new IllegalStateException("transfer of a group failed", e.getCause());
            }
        }
        return arrived.build();
    }

    /** Writes the map with {@code changed} in it; empty if somebody else wrote it first. */
    private Optional<ClaimMapStore.Stored> write(ClaimMapStore.Stored stored, ImmutableList<ClaimGroup> changed)
            throws PlatformException {
        if (changed.isEmpty()) {
            return Optional.of(stored);
        }
        ClaimGroup[] groups = stored.map().isEmpty()
                ? unmappedGroups()
                : stored.map().groups().toArray(ClaimGroup[]::new);
        changed.forEach(group -> groups[group.index()] = group);
        ClaimMap next = new ClaimMap(stored.map().version() + 1, ImmutableList.copyOf(groups));
        Optional<ClaimMapStore.Stored> written = store.replace(stored.revision(), next);
        if (written.isPresent()) {
            maps.updateIfNewer(next);
            onMapWritten.run();
        }
        return written;
    }

    private static ClaimGroup[] unmappedGroups() {
        ClaimGroup[] groups = new ClaimGroup[ClaimMap.GROUP_COUNT];
        for (int index = 0; index < groups.length; index++) {
            groups[index] = new ClaimGroup(index, 0, "", 0, ImmutableList.of());
        }
        return groups;
    }

    private static ImmutableList<Planned> planAll(ClaimMap map, GroupPlanner.Fleet fleet) {
        List<ClaimGroup> groups = map.isEmpty() ? List.of(unmappedGroups()) : map.groups();
        return groups.stream()
                .map(group -> new Planned(group, GroupPlanner.plan(group, fleet)))
                .collect(ImmutableList.toImmutableList());
    }

    private static boolean isInDanger(ClaimGroup group, GroupPlanner.Fleet fleet) {
        long reachable =
                group.replicas().stream().filter(fleet.reachable()::contains).count();
        return reachable <= group.majority();
    }

    /** Builds a {@link GroupMover}. Not thread safe. */
    public static final class Builder {
        private final String self;
        private final String region;
        private MemberTable members;
        private LatestClaimMap maps;
        private ClaimMapStore store;
        private ReplicaClient replicas;
        private TimeSource time;
        private RandomGenerator random;
        private Runnable onMapWritten = () -> {};

        private Builder(String self, String region) {
            this.self = self;
            this.region = region;
        }

        /** Sets the members known. */
        public Builder members(MemberTable value) {
            members = value;
            return this;
        }

        /** Sets the holder of the present map. */
        public Builder maps(LatestClaimMap value) {
            maps = value;
            return this;
        }

        /** Sets where the map is kept. */
        public Builder store(ClaimMapStore value) {
            store = value;
            return this;
        }

        /** Sets how replicas are asked. */
        public Builder replicas(ReplicaClient value) {
            replicas = value;
            return this;
        }

        /** Sets the source of time. */
        public Builder time(TimeSource value) {
            time = value;
            return this;
        }

        /** Sets the source of randomness. */
        public Builder random(RandomGenerator value) {
            random = value;
            return this;
        }

        /** Sets what is done at once after each write of the map. */
        public Builder onMapWritten(Runnable value) {
            onMapWritten = value;
            return this;
        }

        /** Returns the mover. */
        public GroupMover build() {
            return new GroupMover(this);
        }
    }
}
