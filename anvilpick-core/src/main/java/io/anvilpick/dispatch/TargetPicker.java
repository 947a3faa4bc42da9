package io.anvilpick.dispatch;

import com.google.common.collect.ImmutableList;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.time.Deadline;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/** Picks one of several targets by a policy. Guarded by the dispatcher's lock. */
final class TargetPicker {
    /** Factor by which a near target may be slower than a far one whatever the goal. */
    private static final double NEAR_PREFERENCE = 1.3;

    /** Share of the time left until the goal that the answer of a near target may take. */
    private static final double SHARE_OF_GOAL = 1.0;

    /** Factor from which a target counts as slow. */
    private static final double SLOW_FACTOR = 2.2;

    /** Time left for the goal, as a multiple of the usual time, from which a call can wait for a better target. */
    private static final double SLACK_FACTOR = 1.2;

    /** Factor from which a near target counts as failing rather than busy. */
    private static final double MOST_NEAR_FACTOR = 3.0;

    /** Far targets that are asked at a time; bytes between zones cost more than a few milliseconds. */
    private static final int MOST_FAR_ASKED = 2;

    /** Factor of a target that is idle and as fast as usual. */
    private static final double USUAL_FACTOR = 1.0;

    /** Factor below which a target is good enough to look no further. */
    private static final double GOOD_FACTOR = 1.4;

    /** Part of a factor by which prospects that promise about the same are mixed. */
    private static final double EVEN_CHANCES = 0.05;

    private final TargetPolicy policy;
    private final RandomGenerator random;
    private int turn;

    TargetPicker(TargetPolicy policy, RandomGenerator random) {
        this.policy = policy;
        this.random = random;
    }

    /**
     * A call that wants a target.
     *
     * @param nowNanos the present
     * @param goal when the answer should be there
     * @param baselineNanos the time that its class usually takes; zero if unknown
     * @param queued calls that wait already
     */
    record Wanted(long nowNanos, Deadline goal, long baselineNanos, int queued) {}

    /** Returns the target that a call goes to, or null if it waits. */
    @Nullable
    TargetState pick(List<TargetState> candidates, Wanted wanted) {
        if (candidates.isEmpty()) {
            return null;
        }
        return switch (policy) {
            case TargetPolicy.LateBinding ignored ->
                pickFree(candidates, wanted.nowNanos(), wanted.baselineNanos(), wanted.queued());
            case TargetPolicy.EarliestAnswer earliest -> pickEarliest(candidates, wanted, earliest.zone());
            case TargetPolicy.UniformRandom ignored -> candidates.get(random.nextInt(candidates.size()));
            case TargetPolicy.RoundRobin ignored -> candidates.get(Math.floorMod(turn++, candidates.size()));
            case TargetPolicy.TwoChoices ignored -> pickOfTwo(candidates);
            case TargetPolicy.LeastInFlight ignored -> pickLeastInFlight(candidates);
        };
    }

    /** The least score among targets with a free slot, then the fewest calls in flight, then by chance. */
    private @Nullable TargetState pickFree(List<TargetState> candidates, long now, long baselineNanos, int queued) {
        TargetState best = null;
        double bestScore = Double.MAX_VALUE;
        int fastSlots = 0;
        int start = random.nextInt(candidates.size());
        for (int i = 0; i < candidates.size(); i++) {
            TargetState target = candidates.get((start + i) % candidates.size());
            double score = target.score(now, baselineNanos);
            fastSlots += score < TargetState.SLOW_SCORE ? target.limit() : 0;
            if (!target.hasFreeSlot(now)) {
                continue;
            }
            if (best == null || isBetter(target, score, best, bestScore)) {
                best = target;
                bestScore = score;
            }
        }
        return best == null || isWorthWaiting(best, bestScore, queued, fastSlots) ? null : best;
    }

    /** The earliest answer among targets with room, in {@code zone} where that costs little or still meets the goal. */
    private @Nullable TargetState pickEarliest(List<TargetState> candidates, Wanted wanted, String zone) {
        TargetState near = null;
        TargetState any = null;
        double nearFactor = Double.MAX_VALUE;
        double anyFactor = Double.MAX_VALUE;
        int start = random.nextInt(candidates.size());
        for (int i = 0; i < candidates.size(); i++) {
            TargetState target = candidates.get((start + i) % candidates.size());
            if (!target.hasRoom(wanted.nowNanos())) {
                continue;
            }
            double factor = target.expectedFactor(wanted.nowNanos(), wanted.baselineNanos());
            if (factor < anyFactor) {
                any = target;
                anyFactor = factor;
            }
            if (factor < nearFactor && target.config().zone().equals(zone)) {
                near = target;
                nearFactor = factor;
            }
        }
        boolean stay = near != null && isNearEnough(wanted, nearFactor, anyFactor);
        return isWorthWaitingForABetterOne(wanted, stay ? nearFactor : anyFactor) ? null : stay ? near : any;
    }

    /** A target is slow for moments; a call that can wait that long and still meet its goal does not go to a slow one. */
    private static boolean isWorthWaitingForABetterOne(Wanted wanted, double factor) {
        if (factor < SLOW_FACTOR || wanted.baselineNanos() == 0) {
            return false;
        }
        double left = wanted.goal().remainingNanos(wanted.nowNanos());
        boolean slowOneMeetsGoal = factor * wanted.baselineNanos() < left;
        return !slowOneMeetsGoal && left > wanted.baselineNanos() * SLACK_FACTOR;
    }

    /** Returns the most promising targets whose last report is old; none if one with a fresh report is good. */
    ImmutableList<TargetConfig> targetsToProbe(List<TargetState> candidates, Wanted wanted, int most) {
        if (!(policy instanceof TargetPolicy.EarliestAnswer earliest)) {
            return ImmutableList.of();
        }
        List<Prospect> near = new ArrayList<>(candidates.size());
        List<Prospect> far = new ArrayList<>(candidates.size());
        double bestNear = Double.MAX_VALUE;
        for (TargetState target : candidates) {
            if (!target.hasRoom(wanted.nowNanos())) {
                continue;
            }
            double factor = target.expectedFactor(wanted.nowNanos(), wanted.baselineNanos());
            boolean isNear = target.config().zone().equals(earliest.zone());
            if (!target.isFreshlyReported(wanted.nowNanos())) {
                List<Prospect> ofZone = isNear ? near : far;
                ofZone.add(new Prospect(target, factor + random.nextDouble() * EVEN_CHANCES));
            } else if (isNear) {
                bestNear = Math.min(bestNear, factor);
            }
        }
        if (bestNear < GOOD_FACTOR) {
            return ImmutableList.of();
        }
        if (!near.isEmpty()) {
            return best(near, most);
        }
        // Far targets are asked only where the near ones, all known now, would miss the goal.
        return isNearEnough(wanted, bestNear, USUAL_FACTOR) ? ImmutableList.of() : best(far, MOST_FAR_ASKED);
    }

    private static ImmutableList<TargetConfig> best(List<Prospect> prospects, int most) {
        return prospects.stream()
                .sorted(Comparator.comparingDouble(Prospect::rank))
                .limit(most)
                .map(prospect -> prospect.target().config())
                .collect(ImmutableList.toImmutableList());
    }

    private record Prospect(TargetState target, double rank) {}

    private static boolean isNearEnough(Wanted wanted, double nearFactor, double anyFactor) {
        if (nearFactor <= anyFactor * NEAR_PREFERENCE) {
            return true;
        }
        double left = wanted.goal().remainingNanos(wanted.nowNanos());
        return nearFactor * wanted.baselineNanos() <= left * SHARE_OF_GOAL && nearFactor < MOST_NEAR_FACTOR;
    }

    private static boolean isBetter(TargetState target, double score, TargetState best, double bestScore) {
        boolean targetSlow = score >= TargetState.SLOW_SCORE;
        boolean bestSlow = bestScore >= TargetState.SLOW_SCORE;
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
     * A target that is lastingly slow and has a free slot would answer after about {@code score} times the usual; one of
     * the fast slots comes free after about {@code (queued + 1) / fastSlots} times the usual, and then answers in the usual time.
     */
    private static boolean isWorthWaiting(TargetState target, double score, int queued, int fastSlots) {
        if (score < TargetState.SLOW_SCORE || fastSlots == 0 || !target.isLastinglySlow()) {
            return false;
        }
        return score > (queued + 1.0) / fastSlots + 1;
    }

    private TargetState pickOfTwo(List<TargetState> candidates) {
        TargetState first = candidates.get(random.nextInt(candidates.size()));
        TargetState second = candidates.get(random.nextInt(candidates.size()));
        return second.lastReported() < first.lastReported() ? second : first;
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
