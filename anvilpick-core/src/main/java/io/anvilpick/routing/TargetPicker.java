package io.anvilpick.routing;

import java.util.List;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/** Picks one of several targets by a policy. Guarded by the dispatcher's lock. */
final class TargetPicker {
    private final TargetPolicy policy;
    private final RandomGenerator random;
    private int turn;

    TargetPicker(TargetPolicy policy, RandomGenerator random) {
        this.policy = policy;
        this.random = random;
    }

    /**
     * Returns the target that a call goes to, or null if it waits.
     *
     * @param queued calls that wait already
     */
    @Nullable
    TargetState pick(List<TargetState> candidates, long now, long baselineNanos, int queued) {
        if (candidates.isEmpty()) {
            return null;
        }
        return switch (policy) {
            case TargetPolicy.LateBinding ignored -> pickFree(candidates, now, baselineNanos, queued);
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
