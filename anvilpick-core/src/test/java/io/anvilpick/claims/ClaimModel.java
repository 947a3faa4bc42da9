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
 * Drives the claim protocol's decisions step by step in virtual time: votes are delayed and reordered, replicas restart
 * empty, fall silent and come back, claimants pause, and movers race each other for the map.
 */
final class ClaimModel {
    private static final int DAEMONS = 6;
    private static final int LOST_TOGETHER = 4;
    private static final int KEYS_AT_A_TIME = 3;
    private static final int STEPS_PER_NEW_KEY = 60;
    private static final long MEMORY_MILLIS = 1_000_000_000L;

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
     * Rules that a mutation may break.
     *
     * @param majorityToMove whether a move needs the sealed claims of a majority of the old replicas
     * @param doubtAfterLoss whether keys made before a loss of claims are doubted
     */
    record Rules(boolean majorityToMove, boolean doubtAfterLoss) {
        static final Rules SOUND = new Rules(true, true);
    }

    /** A daemon's memory; a restart replaces it under another instance. */
    private static final class Daemon {
        private String instance;
        private ClaimTable table;
        private ClaimMap known = ClaimMap.EMPTY;
        private boolean silent;
    }

    /** A claim under way: the replicas still to be asked. */
    private record Round(Claim claim, ClaimGroup group, ClaimRound round, List<String> toAsk) {}

    /** A move under way, between its install and its write of the map. */
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
        daemons.forEach(this::learnMap);
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
            askNext();
        } else if (kind < 166) {
            startMove();
        } else if (kind < 180) {
            finishMove();
        } else if (kind < 196) {
            learnMap(daemons.get(random.nextInt(DAEMONS)));
        } else if (kind < 197) {
            restart(daemons.get(random.nextInt(DAEMONS)));
        } else if (kind < 198) {
            restartMost();
        } else {
            Daemon daemon = daemons.get(random.nextInt(DAEMONS));
            daemon.silent = !daemon.silent;
        }
    }

    /** A claimant may know an old map, as one that was paused would. */
    private void startRound() {
        ClaimMap map = daemons.get(random.nextInt(DAEMONS)).known;
        if (map.isEmpty()) {
            return;
        }
        int number = stepsDone / STEPS_PER_NEW_KEY + random.nextInt(KEYS_AT_A_TIME);
        ClaimKey key = new ClaimKey("service", "tenant", keys.computeIfAbsent(number, this::newKey));
        ClaimGroup group = map.groupOf(key);
        if (KeyAge.rejectionOf(key.key(), group, MEMORY_MILLIS, time.epochMillis())
                .isPresent()) {
            return;
        }
        long now = time.epochMillis();
        Claim claim = new Claim(
                key, "holder" + nextHolder++, "print", new ClaimState.Running(), now + 1_000, now + MEMORY_MILLIS);
        rounds.add(new Round(claim, group, new ClaimRound(group), new ArrayList<>(group.replicas())));
    }

    /** Delivers one vote of any round, in any order; it may be long after the round began. */
    private void askNext() {
        if (rounds.isEmpty()) {
            return;
        }
        Round round = rounds.get(random.nextInt(rounds.size()));
        String replica = round.toAsk().remove(random.nextInt(round.toAsk().size()));
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
        if (daemon.isEmpty() || daemon.get().silent) {
            return new Vote.NoReply();
        }
        Vote vote = daemon.get().table.vote(round.group().index(), round.group().epoch(), round.claim());
        // An answer may be lost after the vote was recorded.
        return random.nextInt(10) == 0 ? new Vote.NoReply() : vote;
    }

    private void release(Round round) {
        for (String replica : round.group().replicas()) {
            if (random.nextInt(5) > 0) {
                find(replica)
                        .filter(daemon -> !daemon.silent)
                        .ifPresent(daemon -> daemon.table.release(
                                round.group().index(),
                                round.claim().key(),
                                round.claim().holder()));
            }
        }
    }

    /** Every other key carries the time at which it was made. */
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
                        group.epoch() == 0 || !rules.doubtAfterLoss() ? 0 : time.epochMillis(),
                        restart.replicas(),
                        collect(group));
        };
    }

    private ClaimUnion collect(ClaimGroup group) {
        ClaimUnion union = new ClaimUnion();
        for (String replica : group.replicas()) {
            Optional<Daemon> daemon = find(replica).filter(each -> !each.silent);
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
        int kept = 0;
        for (String replica : to) {
            Optional<Daemon> daemon = find(replica).filter(each -> !each.silent);
            if (daemon.isPresent()
                    && daemon.get().table.install(group.index(), next.epoch(), changeId, union.claims())) {
                kept++;
            }
        }
        return kept >= next.majority() ? next : group;
    }

    /** The write of the map: it counts only if nobody else wrote meanwhile. */
    private void finishMove() {
        if (moves.isEmpty()) {
            return;
        }
        Move move = moves.remove(random.nextInt(moves.size()));
        if (move.base().version() == platformMap.version()) {
            platformMap = move.next();
        }
    }

    private void learnMap(Daemon daemon) {
        if (platformMap.version() > daemon.known.version()) {
            daemon.known = platformMap;
            daemon.table.apply(platformMap);
        }
    }

    /** Daemons are lost together, as with an availability zone and a rack at a time. */
    private void restartMost() {
        int first = random.nextInt(DAEMONS);
        for (int i = 0; i < LOST_TOGETHER; i++) {
            restart(daemons.get((first + i) % DAEMONS));
        }
    }

    private void restart(Daemon daemon) {
        daemon.instance = "instance" + nextInstance++;
        daemon.table = new ClaimTable(daemon.instance, ClaimMap.GROUP_COUNT, time);
        daemon.known = ClaimMap.EMPTY;
        daemon.silent = false;
    }

    private GroupPlanner.Fleet fleet() {
        ImmutableList.Builder<ReplicaCandidate> candidates = ImmutableList.builder();
        ImmutableSet.Builder<String> reachable = ImmutableSet.builder();
        ImmutableSet.Builder<String> gone = ImmutableSet.builder();
        for (int i = 0; i < DAEMONS; i++) {
            Daemon daemon = daemons.get(i);
            if (!daemon.silent) {
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
