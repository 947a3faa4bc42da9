package io.anvilpick.dispatch;

import com.google.common.collect.ImmutableList;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.time.Deadline;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Picks one of several targets according to a policy. Guarded by the dispatcher's lock.
 *
 * <p>A slowdown is an expected latency as a multiple of the baseline of the request class. A target is near if it is in
 * the daemon's availability zone, and far otherwise.
 */
final class TargetPicker {
    /** Ratio to the lowest slowdown up to which a near target is preferred whatever the goal. */
    private static final double MAX_NEAR_TO_LOWEST_RATIO = 1.3;

    /** Maximum share of the time left until the goal that the answer of a near target may take. */
    private static final double MAX_SHARE_OF_GOAL = 1.0;

    /** Slowdown from which a target counts as slow. */
    private static final double HIGH_SLOWDOWN = 2.2;

    /** Time left until the goal, as a multiple of the baseline, above which a call can wait for a faster target. */
    private static final double MIN_SLACK_FACTOR = 1.2;

    /** Slowdown from which a near target counts as failing rather than busy. */
    private static final double MAX_NEAR_SLOWDOWN = 3.0;

    /**
     * Maximum number of far targets probed at a time. It is low because traffic between zones is more expensive than a
     * few milliseconds of latency.
     */
    private static final int MAX_FAR_PROBES = 2;

    /** Price of a call to another zone, as nanoseconds of latency. Traffic between zones is charged by the byte. */
    private static final long FAR_PRICE_NANOS = 20_000_000L;

    /** Slowdown of a target that is idle and as fast as usual. */
    private static final double BASELINE_SLOWDOWN = 1.0;

    /** Slowdown below which a target is good enough and no others are probed. */
    private static final double GOOD_SLOWDOWN = 1.4;

    /** Maximum random addition to a rank, which varies the order of targets with nearly equal slowdowns. */
    private static final double RANK_JITTER = 0.05;

    private final TargetPolicy policy;
    private final RandomGenerator random;
    private int nextIndex;

    TargetPicker(TargetPolicy policy, RandomGenerator random) {
        this.policy = policy;
        this.random = random;
    }

    /**
     * The properties of a call for which a target is to be picked.
     *
     * @param callId the identifier of the call
     * @param nowNanos the present monotonic clock reading
     * @param goal the time by which the answer should arrive
     * @param baselineNanos the median latency of the request class; zero if unknown
     * @param queued the number of calls at the same level of the queue, including this one; zero if it is not queued
     */
    record PickRequest(long callId, long nowNanos, Deadline goal, long baselineNanos, int queued) {}

    /** Returns the target for a call, or null if the call should wait. */
    @Nullable
    TargetState pick(List<TargetState> candidates, PickRequest request) {
        if (candidates.isEmpty()) {
            return null;
        }
        return switch (policy) {
            case TargetPolicy.LateBinding ignored ->
                pickFree(candidates, request.nowNanos(), request.baselineNanos(), request.queued());
            case TargetPolicy.EarliestAnswer earliest -> pickEarliest(candidates, request, earliest.zone());
            case TargetPolicy.UniformRandom ignored -> candidates.get(random.nextInt(candidates.size()));
            case TargetPolicy.RoundRobin ignored -> candidates.get(Math.floorMod(nextIndex++, candidates.size()));
            case TargetPolicy.TwoChoices ignored -> pickOfTwo(candidates);
            case TargetPolicy.LeastInFlight ignored -> pickLeastInFlight(candidates);
        };
    }

    /**
     * Returns the best target with a free slot: targets that are not slow first, among these the fewest calls in
     * flight, then the lowest score, then at random. Among slow targets the lowest score comes first. Returns null if
     * no slot is free, or if waiting for another target is likely to be faster.
     */
    private @Nullable TargetState pickFree(List<TargetState> candidates, long now, long baselineNanos, int queued) {
        TargetState best = null;
        double bestScore = Double.MAX_VALUE;
        int fastSlots = 0;
        int start = random.nextInt(candidates.size());
        for (int i = 0; i < candidates.size(); i++) {
            TargetState target = candidates.get((start + i) % candidates.size());
            double score = target.score(now, baselineNanos);
            fastSlots += score < SlownessScore.SLOW ? target.limit() : 0;
            if (!target.hasFreeSlot(now)) {
                continue;
            }
            if (best == null || isBetter(target, score, best, bestScore)) {
                best = target;
                bestScore = score;
            }
        }
        return best == null || isWorthWaitingForFastSlot(best, bestScore, queued, fastSlots) ? null : best;
    }

    /**
     * Returns the target with the earliest expected answer among those with room. Prefers a target in {@code zone} if
     * that costs little or still meets the goal. Returns null if no target has room, or if waiting for a faster target
     * is better.
     */
    private @Nullable TargetState pickEarliest(List<TargetState> candidates, PickRequest request, String zone) {
        TargetState near = null;
        TargetState fastest = null;
        double nearSlowdown = Double.MAX_VALUE;
        double lowestSlowdown = Double.MAX_VALUE;
        int start = random.nextInt(candidates.size());
        for (int i = 0; i < candidates.size(); i++) {
            TargetState target = candidates.get((start + i) % candidates.size());
            if (!target.hasRoom(request.nowNanos())) {
                continue;
            }
            double slowdown = target.expectedSlowdown(request.nowNanos(), request.baselineNanos());
            if (slowdown < lowestSlowdown) {
                fastest = target;
                lowestSlowdown = slowdown;
            }
            if (slowdown < nearSlowdown && target.config().zone().equals(zone)) {
                near = target;
                nearSlowdown = slowdown;
            }
        }
        boolean useNear = near != null && isNearEnough(request, nearSlowdown, lowestSlowdown);
        return isWorthWaitingForFasterTarget(request, useNear ? nearSlowdown : lowestSlowdown)
                ? null
                : useNear ? near : fastest;
    }

    /**
     * Returns whether a call should wait because the best target is slow. Targets are usually slow only for moments. A
     * call waits if the slow target would miss its goal and the time left is sufficient to wait and still meet it.
     */
    private static boolean isWorthWaitingForFasterTarget(PickRequest request, double slowdown) {
        if (slowdown < HIGH_SLOWDOWN || request.baselineNanos() == 0) {
            return false;
        }
        double left = request.goal().remainingNanos(request.nowNanos());
        boolean meetsGoal = slowdown * request.baselineNanos() < left;
        return !meetsGoal && left > request.baselineNanos() * MIN_SLACK_FACTOR;
    }

    /**
     * Returns the near targets with the lowest expected slowdowns among those without a fresh report. If all near
     * targets have a fresh report or no room, and would miss the goal or count as failing, returns such far targets
     * instead. Returns none if a near target with a fresh report is good enough, or if the policy is not
     * {@link TargetPolicy.EarliestAnswer}.
     */
    ImmutableList<TargetConfig> targetsToProbe(List<TargetState> candidates, PickRequest request, int maxTargets) {
        if (!(policy instanceof TargetPolicy.EarliestAnswer earliest)) {
            return ImmutableList.of();
        }
        List<ProbeCandidate> near = new ArrayList<>(candidates.size());
        List<ProbeCandidate> far = new ArrayList<>(candidates.size());
        double lowestNearSlowdown = Double.MAX_VALUE;
        for (TargetState target : candidates) {
            if (!target.mayHaveRoom(request.nowNanos())) {
                continue;
            }
            double slowdown = target.expectedSlowdown(request.nowNanos(), request.baselineNanos());
            boolean inOwnZone = target.config().zone().equals(earliest.zone());
            if (!target.isFreshlyReported(request.nowNanos())) {
                List<ProbeCandidate> group = inOwnZone ? near : far;
                group.add(new ProbeCandidate(target, slowdown + random.nextDouble() * RANK_JITTER));
            } else if (inOwnZone) {
                lowestNearSlowdown = Math.min(lowestNearSlowdown, slowdown);
            }
        }
        if (lowestNearSlowdown < GOOD_SLOWDOWN) {
            return ImmutableList.of();
        }
        if (!near.isEmpty()) {
            return lowestRanked(near, maxTargets);
        }
        // The near targets all have fresh reports or no room. Far ones are probed only if none of them is acceptable.
        return isNearEnough(request, lowestNearSlowdown, BASELINE_SLOWDOWN)
                ? ImmutableList.of()
                : lowestRanked(far, MAX_FAR_PROBES);
    }

    /**
     * Returns the target with the lowest cost among {@code far} targets and freshly reported {@code near} ones; null if none has room
     * and is not slow. The cost is the expected slowdown, for far targets plus the price of a far call.
     */
    @Nullable
    TargetState pickForSpill(List<TargetState> near, List<TargetState> far, PickRequest request) {
        TargetState best = null;
        double lowestCost = Double.MAX_VALUE;
        double price = request.baselineNanos() == 0 ? 0 : (double) FAR_PRICE_NANOS / request.baselineNanos();
        for (TargetState target : far) {
            double slowdown = target.expectedSlowdown(request.nowNanos(), request.baselineNanos());
            if (target.hasRoom(request.nowNanos()) && slowdown < HIGH_SLOWDOWN && slowdown + price < lowestCost) {
                best = target;
                lowestCost = slowdown + price;
            }
        }
        for (TargetState target : near) {
            if (!target.isFreshlyReported(request.nowNanos()) || !target.hasRoom(request.nowNanos())) {
                continue;
            }
            double slowdown = target.expectedSlowdown(request.nowNanos(), request.baselineNanos());
            if (slowdown < GOOD_SLOWDOWN && slowdown < lowestCost) {
                best = target;
                lowestCost = slowdown;
            }
        }
        return best;
    }

    /** Returns whether one of {@code candidates} has just reported that it has room and is not slow. */
    boolean hasFreshGood(List<TargetState> candidates, PickRequest request) {
        for (TargetState target : candidates) {
            if (target.isFreshlyReported(request.nowNanos())
                    && target.hasRoom(request.nowNanos())
                    && target.expectedSlowdown(request.nowNanos(), request.baselineNanos()) < GOOD_SLOWDOWN) {
                return true;
            }
        }
        return false;
    }

    /** Returns the far targets to probe before a call that leaves the zone is sent. */
    ImmutableList<TargetConfig> farTargetsToProbe(List<TargetState> candidates, PickRequest request) {
        List<ProbeCandidate> ranked = new ArrayList<>();
        for (TargetState target : candidates) {
            if (!target.isFreshlyReported(request.nowNanos()) && target.mayHaveRoom(request.nowNanos())) {
                double slowdown = target.expectedSlowdown(request.nowNanos(), request.baselineNanos());
                ranked.add(new ProbeCandidate(target, slowdown + random.nextDouble() * RANK_JITTER));
            }
        }
        return lowestRanked(ranked, MAX_FAR_PROBES);
    }

    private static ImmutableList<TargetConfig> lowestRanked(List<ProbeCandidate> candidates, int maxTargets) {
        return candidates.stream()
                .sorted(Comparator.comparingDouble(ProbeCandidate::rank))
                .limit(maxTargets)
                .map(candidate -> candidate.target().config())
                .collect(ImmutableList.toImmutableList());
    }

    private record ProbeCandidate(TargetState target, double rank) {}

    private static boolean isNearEnough(PickRequest request, double nearSlowdown, double lowestSlowdown) {
        if (nearSlowdown <= lowestSlowdown * MAX_NEAR_TO_LOWEST_RATIO) {
            return true;
        }
        double left = request.goal().remainingNanos(request.nowNanos());
        return nearSlowdown * request.baselineNanos() <= left * MAX_SHARE_OF_GOAL && nearSlowdown < MAX_NEAR_SLOWDOWN;
    }

    private static boolean isBetter(TargetState target, double score, TargetState best, double bestScore) {
        boolean targetSlow = score >= SlownessScore.SLOW;
        boolean bestSlow = bestScore >= SlownessScore.SLOW;
        if (targetSlow != bestSlow) {
            return bestSlow;
        }
        if (targetSlow) {
            return score < bestScore;
        }
        if (target.inFlight() != best.inFlight()) {
            return target.inFlight() < best.inFlight();
        }
        return score < bestScore;
    }

    /**
     * Returns whether waiting for a slot of a fast target is likely to be faster than using a free slot of
     * {@code target}.
     *
     * <p>A persistently slow target answers after about {@code score} times the baseline. A slot of a fast target
     * becomes free after about {@code (queued + 1) / fastSlots} times the baseline, and its answer takes the baseline
     * once more.
     */
    private static boolean isWorthWaitingForFastSlot(TargetState target, double score, int queued, int fastSlots) {
        if (score < SlownessScore.SLOW || fastSlots == 0 || !target.isPersistentlySlow()) {
            return false;
        }
        return score > (queued + 1.0) / fastSlots + 1;
    }

    private TargetState pickOfTwo(List<TargetState> candidates) {
        TargetState first = candidates.get(random.nextInt(candidates.size()));
        TargetState second = candidates.get(random.nextInt(candidates.size()));
        return second.reportedInFlight() < first.reportedInFlight() ? second : first;
    }

    private TargetState pickLeastInFlight(List<TargetState> candidates) {
        int start = random.nextInt(candidates.size());
        TargetState least = candidates.get(start);
        for (int i = 1; i < candidates.size(); i++) {
            TargetState target = candidates.get((start + i) % candidates.size());
            if (target.inFlight() < least.inFlight()) {
                least = target;
            }
        }
        return least;
    }
}
