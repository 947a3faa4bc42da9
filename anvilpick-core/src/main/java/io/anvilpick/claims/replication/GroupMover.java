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
 * Moves claim groups to other replicas when daemons join, leave or fail. Must be used by one thread only.
 *
 * <p>A move seals the old epoch at a majority of its replicas, installs all claims found there at the new replicas, and
 * then writes the claim map by compare-and-swap. If two daemons move the same group, the write of one of them fails.
 * The claims that were installed for the failed write are never activated.
 */
public final class GroupMover {
    /** Maximum number of groups moved by one write of the map. Their calls wait from the seal until that write. */
    private static final int GROUPS_PER_WRITE = 16;

    /**
     * Maximum time of a read from the platform for a move to start.
     *
     * <p>A platform that is slower to answer the read may also fail the write that ends the move. Groups with no more
     * reachable replicas than a majority move regardless.
     */
    private static final Duration MAX_READ_TIME = Duration.ofMillis(250);

    private final String self;
    private final String region;
    private final MemberTable members;
    private final LatestClaimMap maps;
    private final ClaimMapStore store;
    private final ReplicaClient replicas;
    private final TimeSource time;
    private final RandomGenerator random;
    private final Runnable onMapWritten;

    /**
     * The result of a step, for the log.
     *
     * @param moved number of groups that were moved
     * @param restarted number of groups that were restarted, or started for the first time
     * @param waiting number of groups that require a change which could not be made
     * @param version version of the claim map after the step
     */
    public record Step(int moved, int restarted, int waiting, long version) {
        /** Returns whether no group required a change. */
        public boolean isIdle() {
            return moved + restarted + waiting == 0;
        }

        private Step plus(List<PlannedChange> attempted, ImmutableList<ClaimGroup> changed, long nextVersion) {
            Set<Integer> indexes = changed.stream().map(ClaimGroup::index).collect(Collectors.toSet());
            int restarts = (int) attempted.stream()
                    .filter(planned -> planned.change() instanceof GroupChange.Restart)
                    .filter(planned -> indexes.contains(planned.group().index()))
                    .count();
            return new Step(
                    moved + changed.size() - restarts,
                    restarted + restarts,
                    waiting + attempted.size() - changed.size(),
                    nextVersion);
        }
    }

    private record PlannedChange(ClaimGroup group, GroupChange change) {}

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
     * Makes the changes that the groups of the region require now. Blocks until they are made or have failed.
     *
     * <p>Does nothing if another daemon is the mover of the region.
     *
     * @throws PlatformException if a request to the platform failed; the step can be retried
     * @throws ConfigurationException if the map in the platform is unreadable or older than the latest one received
     */
    public Step step() throws PlatformException, ConfigurationException, InterruptedException {
        Step idle = new Step(0, 0, 0, maps.current().version());
        if (!RegionFleet.mover(members, region).equals(Optional.of(self))) {
            return idle;
        }
        GroupPlanner.Fleet fleet = RegionFleet.of(members, region);
        if (fleet.candidates().isEmpty() || isUpToDate(maps.current(), fleet)) {
            return idle;
        }
        long startNanos = time.nanos();
        ClaimMapStore.Stored stored = store.load();
        boolean isPlatformFast = time.nanos() - startNanos <= MAX_READ_TIME.toNanos();
        if (maps.updateIfNewer(stored.map())) {
            // This may be the last write of this daemon, whose reply was lost. The groups that it moved serve no call
            // until the other daemons receive the map.
            onMapWritten.run();
            return idle;
        }
        if (stored.map().version() < maps.current().version()) {
            // The platform holds an older map than this fleet has already used, as after a restore from a backup.
            // Changes must not be based on it.
            throw new ConfigurationException(
                    "claim map: version " + stored.map().version() + " in the platform is older than version "
                            + maps.current().version());
        }
        return change(stored, fleet, isPlatformFast);
    }

    private static boolean isUpToDate(ClaimMap map, GroupPlanner.Fleet fleet) {
        return !map.isEmpty()
                && planAll(map, fleet).stream().allMatch(planned -> planned.change() instanceof GroupChange.Keep);
    }

    /**
     * Makes all required changes, with one write of the map per batch of groups. Stops if another daemon has written
     * the map.
     *
     * <p>A sealed group serves no call until its new epoch is known. Small batches keep that time short.
     */
    private Step change(ClaimMapStore.Stored stored, GroupPlanner.Fleet fleet, boolean isPlatformFast)
            throws PlatformException, InterruptedException {
        List<PlannedChange> due = new ArrayList<>();
        int waiting = 0;
        for (PlannedChange planned : planAll(stored.map(), fleet)) {
            if (planned.change() instanceof GroupChange.Keep) {
                continue;
            }
            if (mustWait(planned, fleet, isPlatformFast)) {
                waiting++;
                continue;
            }
            due.add(planned);
        }
        Step step = new Step(0, 0, waiting, stored.map().version());
        ClaimMapStore.Stored latest = stored;
        for (List<PlannedChange> batch : Lists.partition(due, GROUPS_PER_WRITE)) {
            ImmutableList<ClaimGroup> changed = transfer(batch, fleet);
            Optional<ClaimMapStore.Stored> written = write(latest, changed);
            if (written.isEmpty()) {
                return step;
            }
            latest = written.get();
            step = step.plus(batch, changed, latest.map().version());
        }
        return step;
    }

    private static boolean mustWait(PlannedChange planned, GroupPlanner.Fleet fleet, boolean isPlatformFast) {
        return switch (planned.change()) {
            case GroupChange.Keep ignored -> false;
            case GroupChange.Wait ignored -> true;
            case GroupChange.Move ignored -> !isPlatformFast && !isNearLossOfMajority(planned.group(), fleet);
            case GroupChange.Restart ignored -> false;
        };
    }

    /** Transfers the groups of {@code batch} in parallel. Returns the groups whose transfer succeeded. */
    private ImmutableList<ClaimGroup> transfer(List<PlannedChange> batch, GroupPlanner.Fleet fleet)
            throws InterruptedException {
        GroupTransfer transfer =
                new GroupTransfer(replicas, time, Long.toHexString(random.nextLong()), fleet.reachable());
        List<CompletableFuture<Optional<ClaimGroup>>> running = new ArrayList<>();
        for (PlannedChange planned : batch) {
            ClaimGroup group = planned.group();
            switch (planned.change()) {
                case GroupChange.Keep ignored -> {}
                case GroupChange.Wait ignored -> {}
                case GroupChange.Move move -> running.add(transfer.move(group, move.replicas()));
                case GroupChange.Restart restart -> running.add(transfer.restart(group, restart.replicas()));
            }
        }
        ImmutableList.Builder<ClaimGroup> transferred = ImmutableList.builder();
        for (CompletableFuture<Optional<ClaimGroup>> each : running) {
            try {
                each.get().ifPresent(transferred::add);
            } catch (ExecutionException e) {
                throw new IllegalStateException("transfer of a claim group failed", e.getCause());
            }
        }
        return transferred.build();
    }

    /** Writes the map with the {@code changed} groups; empty if another daemon has written it since it was read. */
    private Optional<ClaimMapStore.Stored> write(ClaimMapStore.Stored stored, ImmutableList<ClaimGroup> changed)
            throws PlatformException {
        if (changed.isEmpty()) {
            return Optional.of(stored);
        }
        ClaimGroup[] groups =
                stored.map().isEmpty() ? initialGroups() : stored.map().groups().toArray(ClaimGroup[]::new);
        changed.forEach(group -> groups[group.index()] = group);
        ClaimMap next = new ClaimMap(stored.map().version() + 1, ImmutableList.copyOf(groups));
        Optional<ClaimMapStore.Stored> written = store.replace(stored.revision(), next);
        if (written.isPresent()) {
            maps.updateIfNewer(next);
            onMapWritten.run();
        }
        return written;
    }

    private static ClaimGroup[] initialGroups() {
        ClaimGroup[] groups = new ClaimGroup[ClaimMap.GROUP_COUNT];
        for (int index = 0; index < groups.length; index++) {
            groups[index] = new ClaimGroup(index, 0, "", 0, ImmutableList.of());
        }
        return groups;
    }

    private static ImmutableList<PlannedChange> planAll(ClaimMap map, GroupPlanner.Fleet fleet) {
        List<ClaimGroup> groups = map.isEmpty() ? List.of(initialGroups()) : map.groups();
        return groups.stream()
                .map(group -> new PlannedChange(group, GroupPlanner.plan(group, fleet)))
                .collect(ImmutableList.toImmutableList());
    }

    private static boolean isNearLossOfMajority(ClaimGroup group, GroupPlanner.Fleet fleet) {
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

        /** Sets the table of members. */
        public Builder members(MemberTable value) {
            members = value;
            return this;
        }

        /** Sets the holder of the latest claim map. */
        public Builder maps(LatestClaimMap value) {
            maps = value;
            return this;
        }

        /** Sets the store of the claim map. */
        public Builder store(ClaimMapStore value) {
            store = value;
            return this;
        }

        /** Sets the client that sends requests to replicas. */
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

        /**
         * Sets an action to run immediately after each write of the map, and after a newer map than the latest received
         * one was read from the platform. The default is no action.
         */
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
