package io.anvilpick.routing;

import io.anvilpick.config.TargetConfig;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;

/** What a dispatcher knows of one target without asking it. Guarded by the dispatcher's lock. */
final class TargetState {
    /** Score of a target that is as fast as its siblings. */
    static final double USUAL_SCORE = 1.0;

    /** Score from which a target is so slow that waiting for another one may be faster. */
    static final double SLOW_SCORE = 2.0;

    private static final double ANSWER_WEIGHT = 0.3;
    private static final long SHORT_HALF_LIFE_NANOS = 10_000_000L;
    private static final long LASTING_HALF_LIFE_NANOS = 160_000_000L;
    private static final long LONG_HALF_LIFE_NANOS = 10_000_000_000L;
    private static final long REPORT_LIFETIME_NANOS = 50_000_000L;
    private static final long FIRST_EJECTION_NANOS = 100_000_000L;
    private static final long LONGEST_EJECTION_NANOS = 5_000_000_000L;
    private static final long DRAIN_BELIEF_NANOS = 30_000_000_000L;
    private static final int FAILURES_TO_EJECT = 3;
    private static final int FAILURES_TO_EJECT_FOR_CERTAIN = 10;

    private final TargetConfig config;
    private final int slots;
    private final Map<Long, Assignment> inFlight = new HashMap<>();
    private Health health = new Health.Serving();
    private int limit;
    private int failuresInRow;
    private double score = USUAL_SCORE;
    private long scoreAtNanos;
    private long halfLifeNanos = SHORT_HALF_LIFE_NANOS;
    private int foreign;
    private int lastReported;
    private long reportedAtNanos;

    TargetState(TargetConfig config, int slots, boolean warm, long nowNanos) {
        this.config = config;
        this.slots = slots;
        this.limit = warm ? slots : 1;
        this.scoreAtNanos = nowNanos;
        this.reportedAtNanos = nowNanos - REPORT_LIFETIME_NANOS;
    }

    TargetConfig config() {
        return config;
    }

    /** Returns a state for a changed configuration of the same target that keeps what was learnt. */
    TargetState reconfigured(TargetConfig changed, int changedSlots, long nowNanos) {
        TargetState next = new TargetState(changed, changedSlots, true, nowNanos);
        next.inFlight.putAll(inFlight);
        next.health = health;
        next.limit = Math.min(limit, changedSlots);
        next.failuresInRow = failuresInRow;
        next.score = score;
        next.scoreAtNanos = scoreAtNanos;
        next.halfLifeNanos = halfLifeNanos;
        return next;
    }

    int inFlight() {
        return inFlight.size();
    }

    int limit() {
        return limit;
    }

    int lastReported() {
        return lastReported;
    }

    /** Returns whether a slot is free as far as is known: own calls, and others' by a fresh report. */
    boolean hasFreeSlot(long nowNanos) {
        return inFlight.size() + foreignAt(nowNanos) < limit;
    }

    /** Returns whether new calls may go to the target. */
    boolean mayServe(long nowNanos) {
        if (config.leaving()) {
            return false;
        }
        return switch (health) {
            case Health.Serving ignored -> true;
            case Health.Draining draining -> nowNanos - draining.untilNanos() >= 0;
            case Health.Ejected ejected -> nowNanos - ejected.untilNanos() >= 0 && inFlight.isEmpty();
        };
    }

    /** Returns whether the target is on its way out, so that not even a lack of others brings it new calls. */
    boolean isLeaving(long nowNanos) {
        return config.leaving() || health instanceof Health.Draining draining && nowNanos - draining.untilNanos() < 0;
    }

    boolean isEjected() {
        return health instanceof Health.Ejected;
    }

    /**
     * Returns how slow the target is against its siblings: one as usual, larger if slower. The decayed mean of its
     * answers counts, or a call that is overdue now, whichever is larger. O(calls in flight).
     */
    double score(long nowNanos, long baselineNanos) {
        double decayed = decayedScore(nowNanos);
        if (baselineNanos <= 0) {
            return decayed;
        }
        double overdue = 0;
        for (Assignment assignment : inFlight.values()) {
            overdue = Math.max(overdue, (double) (nowNanos - assignment.startedNanos()) / baselineNanos);
        }
        return overdue > SLOW_SCORE ? Math.max(decayed, overdue) : decayed;
    }

    /** Returns whether the target was found slow again and again, so that it will most likely be slow once more. */
    boolean isLastinglySlow() {
        return halfLifeNanos >= LASTING_HALF_LIFE_NANOS;
    }

    void start(Assignment assignment) {
        inFlight.put(assignment.id(), assignment);
    }

    /** Returns whether {@code assignment} was in flight here. */
    boolean finish(Assignment assignment) {
        return inFlight.remove(assignment.id()) != null;
    }

    void onAnswer(long nowNanos, long latencyNanos, long baselineNanos, OptionalInt reported) {
        failuresInRow = 0;
        if (isEjected()) {
            health = new Health.Serving();
            limit = 1;
        }
        limit = Math.min(slots, limit + 1);
        if (baselineNanos > 0) {
            addScore(nowNanos, (double) latencyNanos / baselineNanos);
        }
        if (reported.isPresent()) {
            lastReported = reported.getAsInt();
            foreign = Math.max(0, reported.getAsInt() - inFlight.size() - 1);
            reportedAtNanos = nowNanos;
        }
    }

    /** Notes that a call was given up after {@code elapsedNanos} without an answer. */
    void onSilence(long nowNanos, long elapsedNanos, long baselineNanos) {
        if (baselineNanos > 0) {
            addScore(nowNanos, (double) elapsedNanos / baselineNanos);
        }
    }

    void onShed() {
        limit = Math.max(1, Math.min(limit, inFlight.size()));
    }

    void onDraining(long nowNanos) {
        health = new Health.Draining(nowNanos + DRAIN_BELIEF_NANOS);
    }

    /**
     * Notes a failure. Where too much capacity is ejected already, {@code mayEject} is false and only a target that has
     * failed many times in a row is ejected.
     */
    void onFailure(long nowNanos, boolean certain, boolean mayEject) {
        failuresInRow++;
        boolean wasEjected = isEjected();
        int enough = mayEject ? FAILURES_TO_EJECT : FAILURES_TO_EJECT_FOR_CERTAIN;
        if (!wasEjected && !certain && failuresInRow < enough) {
            return;
        }
        int doublings = Math.min(failuresInRow, Integer.SIZE - 1);
        long span = FIRST_EJECTION_NANOS;
        for (int i = 1; i < doublings && span < LONGEST_EJECTION_NANOS; i++) {
            span *= 2;
        }
        health = new Health.Ejected(nowNanos + Math.min(span, LONGEST_EJECTION_NANOS), failuresInRow);
    }

    private int foreignAt(long nowNanos) {
        return nowNanos - reportedAtNanos < REPORT_LIFETIME_NANOS ? foreign : 0;
    }

    private double decayedScore(long nowNanos) {
        double halfLives = (double) (nowNanos - scoreAtNanos) / halfLifeNanos;
        return USUAL_SCORE + (score - USUAL_SCORE) * Math.pow(2, -halfLives);
    }

    /**
     * Folds in a reading. A target found slow again after its score had decayed stays marked for twice as long, so that
     * a lasting straggler is tried ever less often while a passing disturbance is forgotten at once.
     */
    private void addScore(long nowNanos, double reading) {
        double decayed = decayedScore(nowNanos);
        boolean slow = reading > SLOW_SCORE;
        if (slow && decayed < SLOW_SCORE) {
            halfLifeNanos = Math.min(LONG_HALF_LIFE_NANOS, halfLifeNanos * 2);
        }
        if (!slow) {
            halfLifeNanos = Math.max(SHORT_HALF_LIFE_NANOS, halfLifeNanos / 4);
        }
        score = decayed + ANSWER_WEIGHT * (reading - decayed);
        scoreAtNanos = nowNanos;
    }
}
