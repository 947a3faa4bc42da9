package io.anvilpick.claims;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.UUID;

/**
 * A model of the claim protocol, which runs its decisions step by step in virtual time.
 *
 * <p>Votes are delayed and reordered. Replicas restart with empty tables, become unresponsive and recover. Claiming
 * calls pause, and movers compete to write the map.
 */
final class ClaimModel {
    private static final int DAEMONS = 6;
    private static final int RESTARTED_TOGETHER = 4;
    private static final int CONCURRENT_KEYS = 3;
    private static final int STEPS_PER_NEW_KEY = 60;
    private static final long RETENTION_MILLIS = 1_000_000_000L;

    private final SplittableRandom random;
    private final Rules rules;
    private final ManualTimeSource time = ManualTimeSource.startingAt(1_000_000);
    private final List<Daemon> daemons = new ArrayList<>();
    private final List<Round> rounds = new ArrayList<>();
    private final List<Move> moves = new ArrayList<>();
    private final Map<ClaimKey, Integer> wins = new HashMap<>();
    private ClaimMap platformMap = ClaimMap.EMPTY;
    private final Map<Integer, String> keys = new HashMap<>();
    private int nextHolder;
    private int stepsDone;
    private int nextInstance;

    /**
     * Rules of the protocol, each of which a mutant may lack.
     *
     * @param majorityToMove whether a move requires the sealed claims of a majority of the old replicas
     * @param rejectAfterLoss whether keys created before a loss of claims are rejected
     */
    record Rules(boolean majorityToMove, boolean rejectAfterLoss) {
        static final Rules SOUND = new Rules(true, true);
    }

    /** The state of a daemon in memory. A restart replaces it under a new instance ID. */
    private static final class Daemon {
        private String instance;
        private ClaimTable table;
        private ClaimMap latest = ClaimMap.EMPTY;
        private boolean unresponsive;
    }

    /** A claim in progress, with the replicas that have not voted yet. */
    private record Round(Claim claim, ClaimGroup group, ClaimRound round, List<String> remainingReplicas) {}

    /** A move in progress, between its install and its write of the map. */
    private record Move(ClaimMap base, ClaimMap next) {}

    ClaimModel(long seed, Rules rules) {
        this.random = new SplittableRandom(seed);
        this.rules = rules;
        for (int i = 0; i < DAEMONS; i++) {
            Daemon daemon = new Daemon();
            restart(daemon);
            daemons.add(daemon);
        }
        startMove();
        finishMove();
        daemons.forEach(this::receiveMap);
    }

    Map<ClaimKey, Integer> winsPerKey() {
        return wins;
    }

    void run(int steps) {
        for (int i = 0; i < steps; i++) {
            time.advance(Duration.ofMillis(random.nextInt(1, 1_000)));
            step();
            stepsDone++;
        }
    }

    private void step() {
        int kind = random.nextInt(200);
        if (kind < 40) {
            startRound();
        } else if (kind < 160) {
            deliverVote();
        } else if (kind < 166) {
            startMove();
        } else if (kind < 180) {
            finishMove();
        } else if (kind < 196) {
            receiveMap(daemons.get(random.nextInt(DAEMONS)));
        } else if (kind < 197) {
            restart(daemons.get(random.nextInt(DAEMONS)));
        } else if (kind < 198) {
            restartMany();
        } else {
            Daemon daemon = daemons.get(random.nextInt(DAEMONS));
            daemon.unresponsive = !daemon.unresponsive;
        }
    }

    /** Starts a claim. The claiming daemon may have an outdated map, like one that was paused. */
    private void startRound() {
        ClaimMap map = daemons.get(random.nextInt(DAEMONS)).latest;
        if (map.isEmpty()) {
            return;
        }
        int number = stepsDone / STEPS_PER_NEW_KEY + random.nextInt(CONCURRENT_KEYS);
        ClaimKey key = new ClaimKey("service", "tenant", keys.computeIfAbsent(number, this::newKey));
        ClaimGroup group = map.groupOf(key);
        if (KeyAge.rejectionOf(key.key(), group, RETENTION_MILLIS, time.epochMillis())
                .isPresent()) {
            return;
        }
        long now = time.epochMillis();
        Claim claim = new Claim(
                key, "holder" + nextHolder++, "print", new ClaimState.Running(), now + 1_000, now + RETENTION_MILLIS);
        rounds.add(new Round(claim, group, new ClaimRound(group), new ArrayList<>(group.replicas())));
    }

    /**
     * Delivers one vote of a random round. The order of votes is random, and the vote may arrive long after the round
     * began.
     */
    private void deliverVote() {
        if (rounds.isEmpty()) {
            return;
        }
        Round round = rounds.get(random.nextInt(rounds.size()));
        String replica = round.remainingReplicas()
                .remove(random.nextInt(round.remainingReplicas().size()));
        Vote vote = voteOf(replica, round);
        Optional<ClaimRound.Decision> decision = round.round().count(vote);
        if (decision.isEmpty()) {
            return;
        }
        rounds.remove(round);
        if (decision.get() instanceof ClaimRound.Decision.Won) {
            wins.merge(round.claim().key(), 1, Integer::sum);
            return;
        }
        release(round);
    }

    private Vote voteOf(String replica, Round round) {
        Optional<Daemon> daemon = find(replica);
        if (daemon.isEmpty() || daemon.get().unresponsive) {
            return new Vote.NoReply();
        }
        Vote vote = daemon.get().table.vote(round.group().index(), round.group().epoch(), round.claim());
        // A reply can be lost after the replica recorded the vote.
        return random.nextInt(10) == 0 ? new Vote.NoReply() : vote;
    }

    private void release(Round round) {
        for (String replica : round.group().replicas()) {
            if (random.nextInt(5) > 0) {
                find(replica)
                        .filter(daemon -> !daemon.unresponsive)
                        .ifPresent(daemon -> daemon.table.release(
                                round.group().index(),
                                round.claim().key(),
                                round.claim().holder()));
            }
        }
    }

    /** Returns a new key. Every other key contains its creation time. */
    private String newKey(int number) {
        return number % 2 == 0
                ? "key" + number
                : new UUID((time.epochMillis() << 16) | 0x7000 | number % 0xfff, Long.MIN_VALUE).toString();
    }

    private void startMove() {
        GroupPlanner.Fleet fleet = fleet();
        String changeId = "change" + random.nextLong();
        List<ClaimGroup> groups = new ArrayList<>();
        boolean changed = false;
        for (int index = 0; index < ClaimMap.GROUP_COUNT; index++) {
            ClaimGroup group = platformMap.isEmpty()
                    ? new ClaimGroup(index, 0, "", 0, ImmutableList.of())
                    : platformMap.groups().get(index);
            ClaimGroup next = moved(group, fleet, changeId);
            changed |= next != group;
            groups.add(next);
        }
        if (changed) {
            moves.add(new Move(platformMap, new ClaimMap(platformMap.version() + 1, ImmutableList.copyOf(groups))));
        }
    }

    private ClaimGroup moved(ClaimGroup group, GroupPlanner.Fleet fleet, String changeId) {
        return switch (GroupPlanner.plan(group, fleet)) {
            case GroupChange.Keep ignored -> group;
            case GroupChange.Wait ignored -> group;
            case GroupChange.Move move -> {
                ClaimUnion union = collect(group);
                yield rules.majorityToMove() && union.sealedReplicas() < group.majority()
                        ? group
                        : installed(group, changeId, group.trustedFromMillis(), move.replicas(), union);
            }
            case GroupChange.Restart restart ->
                installed(
                        group,
                        changeId,
                        group.epoch() == 0 || !rules.rejectAfterLoss() ? 0 : time.epochMillis(),
                        restart.replicas(),
                        collect(group));
        };
    }

    private ClaimUnion collect(ClaimGroup group) {
        ClaimUnion union = new ClaimUnion();
        for (String replica : group.replicas()) {
            Optional<Daemon> daemon = find(replica).filter(each -> !each.unresponsive);
            if (daemon.isEmpty()) {
                continue;
            }
            SealedGroup sealed = daemon.get().table.seal(group.index(), group.epoch());
            union.add(sealed);
        }
        return union;
    }

    private ClaimGroup installed(
            ClaimGroup group, String changeId, long trustedFrom, ImmutableList<String> to, ClaimUnion union) {
        ClaimGroup next = new ClaimGroup(group.index(), group.epoch() + 1, changeId, trustedFrom, to);
        int accepted = 0;
        for (String replica : to) {
            Optional<Daemon> daemon = find(replica).filter(each -> !each.unresponsive);
            if (daemon.isPresent()
                    && daemon.get().table.install(group.index(), next.epoch(), changeId, union.claims())) {
                accepted++;
            }
        }
        return accepted >= next.majority() ? next : group;
    }

    /** Writes the map of a random move. The write takes effect only if the map has not changed since the move began. */
    private void finishMove() {
        if (moves.isEmpty()) {
            return;
        }
        Move move = moves.remove(random.nextInt(moves.size()));
        if (move.base().version() == platformMap.version()) {
            platformMap = move.next();
        }
    }

    private void receiveMap(Daemon daemon) {
        if (platformMap.version() > daemon.latest.version()) {
            daemon.latest = platformMap;
            daemon.table.apply(platformMap);
        }
    }

    /** Restarts several daemons at once, as when an availability zone and a rack fail together. */
    private void restartMany() {
        int first = random.nextInt(DAEMONS);
        for (int i = 0; i < RESTARTED_TOGETHER; i++) {
            restart(daemons.get((first + i) % DAEMONS));
        }
    }

    private void restart(Daemon daemon) {
        daemon.instance = "instance" + nextInstance++;
        daemon.table = new ClaimTable(daemon.instance, ClaimMap.GROUP_COUNT, time);
        daemon.latest = ClaimMap.EMPTY;
        daemon.unresponsive = false;
    }

    private GroupPlanner.Fleet fleet() {
        ImmutableList.Builder<ReplicaCandidate> candidates = ImmutableList.builder();
        ImmutableSet.Builder<String> reachable = ImmutableSet.builder();
        ImmutableSet.Builder<String> gone = ImmutableSet.builder();
        for (int i = 0; i < DAEMONS; i++) {
            Daemon daemon = daemons.get(i);
            if (!daemon.unresponsive) {
                candidates.add(new ReplicaCandidate(daemon.instance, "zone" + i % 3));
                reachable.add(daemon.instance);
            }
        }
        for (int instance = 0; instance < nextInstance; instance++) {
            if (find("instance" + instance).isEmpty()) {
                gone.add("instance" + instance);
            }
        }
        return new GroupPlanner.Fleet(candidates.build(), reachable.build(), gone.build());
    }

    private Optional<Daemon> find(String instance) {
        return daemons.stream()
                .filter(daemon -> daemon.instance.equals(instance))
                .findFirst();
    }
}
