package io.anvilpick.replication;

import com.google.common.collect.ImmutableList;
import io.anvilpick.claims.Claim;
import io.anvilpick.claims.ClaimGroup;
import io.anvilpick.claims.ClaimMap;
import io.anvilpick.claims.ClaimUnion;
import io.anvilpick.claims.GroupChange;
import io.anvilpick.claims.GroupPlanner;
import io.anvilpick.config.ConfigurationException;
import io.anvilpick.membership.MemberTable;
import io.anvilpick.messages.InstallRequest;
import io.anvilpick.messages.PeerReply;
import io.anvilpick.messages.PeerRequest;
import io.anvilpick.messages.SealRequest;
import io.anvilpick.platform.PlatformException;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.random.RandomGenerator;

/**
 * Moves groups of claims when daemons come and go. Used by one thread.
 *
 * <p>A move seals the old epoch at a majority of its replicas, hands all claims found there to the new replicas, and
 * then writes the map by compare-and-swap. Whoever else moves the same group loses at that write, and what it installed
 * is never activated.
 */
public final class GroupMover {
    private static final Duration PEER_TIMEOUT = Duration.ofSeconds(2);

    /** A platform that takes longer to answer a read is not trusted to take the write that ends a move. */
    private static final Duration FAST_READ = Duration.ofMillis(250);

    private final String self;
    private final String region;
    private final MemberTable members;
    private final ClaimMaps maps;
    private final ClaimMapStore store;
    private final ReplicaCaller replicas;
    private final TimeSource time;
    private final RandomGenerator random;

    /** How a step ended, for the log. */
    public record Step(int moved, int restarted, int waiting, long version) {
        /** Returns whether there was nothing to do. */
        public boolean isIdle() {
            return moved + restarted + waiting == 0;
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
        if (!FleetView.mover(members, region).equals(Optional.of(self))) {
            return idle;
        }
        GroupPlanner.Fleet fleet = FleetView.of(members, region);
        if (fleet.candidates().isEmpty() || isSettled(maps.current(), fleet)) {
            return idle;
        }
        long startNanos = time.nanos();
        ClaimMapStore.Stored stored = store.load();
        boolean fast = time.nanos() - startNanos <= FAST_READ.toNanos();
        if (maps.offer(stored.map())) {
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
        if (map.isEmpty()) {
            return false;
        }
        for (ClaimGroup group : map.groups()) {
            if (!(GroupPlanner.plan(group, fleet) instanceof GroupChange.Keep)) {
                return false;
            }
        }
        return true;
    }

    private Step change(ClaimMapStore.Stored stored, GroupPlanner.Fleet fleet, boolean fast)
            throws PlatformException, InterruptedException {
        String changeId = Long.toHexString(random.nextLong());
        List<ClaimGroup> groups = new ArrayList<>();
        int moved = 0;
        int restarted = 0;
        int waiting = 0;
        for (Planned planned : planAll(stored.map(), fleet)) {
            ClaimGroup group = planned.group();
            Optional<ClaimGroup> next =
                    switch (planned.change()) {
                        case GroupChange.Keep ignored -> Optional.of(group);
                        case GroupChange.Wait ignored -> Optional.empty();
                        case GroupChange.Move move ->
                            fast || isInDanger(group, fleet)
                                    ? move(group, changeId, move.replicas())
                                    : Optional.empty();
                        case GroupChange.Restart restart -> restart(group, changeId, restart.replicas());
                    };
            groups.add(next.orElse(group));
            waiting += next.isEmpty() ? 1 : 0;
            moved += next.isPresent() && planned.change() instanceof GroupChange.Move ? 1 : 0;
            restarted += next.isPresent() && planned.change() instanceof GroupChange.Restart ? 1 : 0;
        }
        if (moved + restarted == 0) {
            return new Step(0, 0, waiting, stored.map().version());
        }
        ClaimMap next = new ClaimMap(stored.map().version() + 1, ImmutableList.copyOf(groups));
        if (store.replace(stored.revision(), next)) {
            maps.offer(next);
        }
        return new Step(moved, restarted, waiting, next.version());
    }

    private static ImmutableList<Planned> planAll(ClaimMap map, GroupPlanner.Fleet fleet) {
        ImmutableList.Builder<Planned> planned = ImmutableList.builder();
        for (int index = 0; index < ClaimMap.GROUPS; index++) {
            ClaimGroup group = map.isEmpty()
                    ? new ClaimGroup(index, 0, "", 0, ImmutableList.of())
                    : map.groups().get(index);
            planned.add(new Planned(group, GroupPlanner.plan(group, fleet)));
        }
        return planned.build();
    }

    private static boolean isInDanger(ClaimGroup group, GroupPlanner.Fleet fleet) {
        long reachable =
                group.replicas().stream().filter(fleet.reachable()::contains).count();
        return reachable <= group.majority();
    }

    private Optional<ClaimGroup> move(ClaimGroup group, String changeId, ImmutableList<String> to)
            throws InterruptedException {
        ClaimUnion union = seal(group);
        if (union.sealedReplicas() < group.majority()) {
            return Optional.empty();
        }
        return install(group, changeId, group.trustedFromMillis(), to, union.claims());
    }

    private Optional<ClaimGroup> restart(ClaimGroup group, String changeId, ImmutableList<String> to)
            throws InterruptedException {
        boolean first = group.epoch() == 0;
        ClaimUnion union = seal(group);
        long trustedFrom = first ? 0 : time.epochMillis();
        return install(group, changeId, trustedFrom, to, union.claims());
    }

    private ClaimUnion seal(ClaimGroup group) throws InterruptedException {
        ClaimUnion union = new ClaimUnion();
        for (PeerReply reply : askAll(group.replicas(), new SealRequest(group.index(), group.epoch()))) {
            if (reply instanceof PeerReply.Sealed sealed) {
                union.add(sealed.group());
            }
        }
        return union;
    }

    private Optional<ClaimGroup> install(
            ClaimGroup group, String changeId, long trustedFrom, ImmutableList<String> to, ImmutableList<Claim> claims)
            throws InterruptedException {
        ClaimGroup next = new ClaimGroup(group.index(), group.epoch() + 1, changeId, trustedFrom, to);
        int kept = 0;
        for (PeerReply reply : askAll(to, new InstallRequest(group.index(), next.epoch(), changeId, claims))) {
            kept += reply instanceof PeerReply.Installed installed && installed.kept() ? 1 : 0;
        }
        return kept >= next.majority() ? Optional.of(next) : Optional.empty();
    }

    private List<PeerReply> askAll(Collection<String> instances, PeerRequest request) throws InterruptedException {
        Deadline deadline = Deadline.after(time, PEER_TIMEOUT);
        List<CompletableFuture<PeerReply>> asked = new ArrayList<>();
        for (String instance : instances) {
            asked.add(replicas.ask(instance, request, deadline));
        }
        List<PeerReply> replies = new ArrayList<>();
        for (CompletableFuture<PeerReply> each : asked) {
            try {
                replies.add(each.get());
            } catch (ExecutionException e) {
                // A replica that does not answer is left out of the count.
                continue;
            }
        }
        return replies;
    }

    /** Builds a {@link GroupMover}. Not thread safe. */
    public static final class Builder {
        private final String self;
        private final String region;
        private MemberTable members;
        private ClaimMaps maps;
        private ClaimMapStore store;
        private ReplicaCaller replicas;
        private TimeSource time;
        private RandomGenerator random;

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
        public Builder maps(ClaimMaps value) {
            maps = value;
            return this;
        }

        /** Sets where the map is kept. */
        public Builder store(ClaimMapStore value) {
            store = value;
            return this;
        }

        /** Sets how replicas are asked. */
        public Builder replicas(ReplicaCaller value) {
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

        /** Returns the mover. */
        public GroupMover build() {
            return new GroupMover(this);
        }
    }
}
