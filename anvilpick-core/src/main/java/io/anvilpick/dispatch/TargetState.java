package io.anvilpick.dispatch;

import io.anvilpick.config.TargetConfig;
import io.anvilpick.time.Deadline;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

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
    private static final long FOREIGN_HALF_LIFE_NANOS = 200_000_000L;
    private static final long SLOWNESS_HALF_LIFE_NANOS = 150_000_000L;
    private static final long FRESH_NANOS = 25_000_000L;
    private static final long FAILURE_HALF_LIFE_NANOS = 2_000_000_000L;
    private static final double FAILURE_WEIGHT = 0.25;
    private static final double COST_OF_FAILURE = 8.0;
    private static final double COLD_FACTOR = 2.0;

    /** Share of its slots from which a target counts as nearly full. */
    private static final double FULL_SHARE = 0.8;

    private static final double COST_OF_OCCUPANCY = 0.15;
    private static final double SILENCE_FACTOR = 3.0;
    private static final int SILENCES_TO_EJECT = 2;
    private static final double SILENT_FACTOR = 4.0;

    /** Calls by which a faded estimate of others' calls may exceed the share before it counts. */
    private static final double ROUNDING_OF_SHARE = 0.1;

    /** Part of a call by which a faded estimate of others' calls may exceed the slots. */
    private static final double ROUNDING = 0.5;

    private static final long FIRST_EJECTION_NANOS = 100_000_000L;
    private static final long LONGEST_EJECTION_NANOS = 5_000_000_000L;
    private static final long DRAIN_BELIEF_NANOS = 30_000_000_000L;
    private static final int FAILURES_TO_EJECT = 3;
    private static final int FAILURES_TO_EJECT_FOR_CERTAIN = 10;

    private final TargetConfig config;
    private final int slots;
    private final Map<Long, Running> inFlight = new HashMap<>();
    private final Deadline warmAt;
    private final FullCost fullCost;
    private Health health = new Health.Serving();
    private int limit;
    private int failuresInRow;
    private int silencesInRow;
    private double failureShare;
    private long failureAtNanos;
    private double slowness = USUAL_SCORE;
    private boolean probeSilent;
    private double score = USUAL_SCORE;
    private long scoreAtNanos;
    private long halfLifeNanos = SHORT_HALF_LIFE_NANOS;
    private int foreign;
    private int lastReported;
    private long reportedAtNanos;

    /** A call in flight and the time that its class usually takes, zero if unknown. */
    private record Running(Assignment assignment, long usualNanos) {}

    TargetState(TargetConfig config, int slots, boolean warm, long nowNanos) {
        this(config, slots, warm, nowNanos, new Deadline(nowNanos), new FullCost());
    }

    /** Creates the state of a target that told when it is warm, and so takes calls up to its slots from the start. */
    TargetState(TargetConfig config, TargetTraits traits, long nowNanos, FullCost fullCost) {
        this(config, traits.slots(), true, nowNanos, traits.warmAt(), fullCost);
    }

    private TargetState(
            TargetConfig config, int slots, boolean warm, long nowNanos, Deadline warmAt, FullCost fullCost) {
        this.fullCost = fullCost;
        this.config = config;
        this.slots = slots;
        this.limit = warm ? slots : 1;
        this.warmAt = warmAt;
        this.failureAtNanos = nowNanos;
        this.scoreAtNanos = nowNanos;
        this.reportedAtNanos = nowNanos - REPORT_LIFETIME_NANOS;
    }

    TargetConfig config() {
        return config;
    }

    /** Returns a state for a changed configuration of the same target that keeps what was learnt. */
    TargetState reconfigured(TargetConfig changed, int changedSlots, long nowNanos) {
        return learntFrom(new TargetState(changed, changedSlots, true, nowNanos, warmAt, fullCost), changedSlots);
    }

    /** Returns a state for changed traits of the same target that keeps what was learnt. */
    TargetState reconfigured(TargetConfig changed, TargetTraits traits, long nowNanos) {
        return learntFrom(new TargetState(changed, traits, nowNanos, fullCost), traits.slots());
    }

    private TargetState learntFrom(TargetState next, int changedSlots) {
        next.inFlight.putAll(inFlight);
        next.silencesInRow = silencesInRow;
        next.failureShare = failureShare;
        next.failureAtNanos = failureAtNanos;
        next.slowness = slowness;
        next.probeSilent = probeSilent;
        next.foreign = foreign;
        next.reportedAtNanos = reportedAtNanos;
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
        for (Running running : inFlight.values()) {
            long usual = running.usualNanos() > 0 ? running.usualNanos() : baselineNanos;
            overdue =
                    Math.max(overdue, (double) (nowNanos - running.assignment().startedNanos()) / usual);
        }
        return overdue > SLOW_SCORE ? Math.max(decayed, overdue) : decayed;
    }

    /**
     * Returns the time that an answer is expected to take as a multiple of the usual time: by how slow the target has been
     * and says it is, whether it is cold or nearly full, and how many of its answers were failures.
     */
    double expectedFactor(long nowNanos, long baselineNanos) {
        double slow = Math.max(score(nowNanos, baselineNanos), slownessAt(nowNanos));
        double cold = warmAt.remainingNanos(nowNanos) > 0 ? COLD_FACTOR : 1;
        double load = (occupancy(nowNanos) + 1) / slots;
        double full = isNearlyFull(occupancy(nowNanos)) ? fullCost.factor() : 1;
        double silent = probeSilent ? SILENT_FACTOR : 1;
        return slow * cold * full * silent * (1 + COST_OF_FAILURE * failureShareAt(nowNanos))
                + COST_OF_OCCUPANCY * load;
    }

    /** Returns whether one more call makes the target nearly full where it has {@code occupancy} calls. */
    boolean isNearlyFull(double occupancy) {
        return occupancy + 1 > slots * FULL_SHARE + ROUNDING_OF_SHARE;
    }

    /** Returns the calls that the target is thought to have: this daemon's, and others' by its last report. */
    double occupancy(long nowNanos) {
        return inFlight.size() + foreign * fading(nowNanos - reportedAtNanos, FOREIGN_HALF_LIFE_NANOS);
    }

    /** Returns whether one more call would find a slot, as far as is known. */
    boolean hasRoom(long nowNanos) {
        return occupancy(nowNanos) + 1 <= Math.min(limit, worthwhileSlots()) + ROUNDING;
    }

    /**
     * Returns the slots that are worth filling. A target that is nearly full takes longer for all its calls, so that its last
     * slots are used only where they add more than that costs.
     */
    private int worthwhileSlots() {
        int below = (int) Math.max(1, Math.floor(slots * FULL_SHARE));
        return slots >= below * fullCost.factor() ? slots : below;
    }

    private double slownessAt(long nowNanos) {
        return USUAL_SCORE + (slowness - USUAL_SCORE) * fading(nowNanos - reportedAtNanos, SLOWNESS_HALF_LIFE_NANOS);
    }

    private double failureShareAt(long nowNanos) {
        return failureShare * fading(nowNanos - failureAtNanos, FAILURE_HALF_LIFE_NANOS);
    }

    private void addOutcome(long nowNanos, boolean failed) {
        double share = failureShareAt(nowNanos);
        failureShare = share + FAILURE_WEIGHT * ((failed ? 1 : 0) - share);
        failureAtNanos = nowNanos;
    }

    private static double fading(long elapsedNanos, long halfLifeNanos) {
        return Math.pow(2, -(double) elapsedNanos / halfLifeNanos);
    }

    /** Returns whether the target was found slow again and again, so that it will most likely be slow once more. */
    boolean isLastinglySlow() {
        return halfLifeNanos >= LASTING_HALF_LIFE_NANOS;
    }

    /** Notes a call on its way here whose class usually takes {@code usualNanos}, zero if that is not known yet. */
    void start(Assignment assignment, long usualNanos) {
        inFlight.put(assignment.id(), new Running(assignment, usualNanos));
    }

    /** Returns whether {@code assignment} was in flight here. */
    boolean finish(Assignment assignment) {
        return inFlight.remove(assignment.id()) != null;
    }

    void onAnswer(long nowNanos, long latencyNanos, long baselineNanos, Optional<LoadReport> reported) {
        failuresInRow = 0;
        silencesInRow = 0;
        addOutcome(nowNanos, false);
        if (isEjected()) {
            health = new Health.Serving();
            limit = 1;
        }
        limit = Math.min(slots, limit + 1);
        if (baselineNanos > 0) {
            addScore(nowNanos, (double) latencyNanos / baselineNanos);
        }
        reported.ifPresent(report -> onReport(nowNanos, report));
    }

    /** Notes what the target says of its load in an answer; the call answered may still be counted in it. */
    void onReport(long nowNanos, LoadReport report) {
        lastReported = report.inFlight();
        foreign = Math.max(0, report.inFlight() - inFlight.size() - 1);
        slowness = report.slowness();
        probeSilent = false;
        reportedAtNanos = nowNanos;
    }

    /** Notes what the target says of its load when asked; this daemon's calls in flight are counted in it. */
    void onProbe(long nowNanos, LoadReport report) {
        if (isEjected()) {
            health = new Health.Serving();
            failuresInRow = 0;
        }
        onReport(nowNanos, report);
        foreign = Math.max(0, report.inFlight() - inFlight.size());
    }

    /** Notes that the target was asked for its load and is late with it. */
    void onSilentProbe() {
        probeSilent = true;
    }

    /** Notes that the target, which failed, is looked at again; until that tells something, it stays ejected. */
    void onTrial(long nowNanos) {
        if (health instanceof Health.Ejected ejected) {
            health = new Health.Ejected(nowNanos + LONGEST_EJECTION_NANOS, ejected.failures());
        }
    }

    /** Returns whether the last report is so recent that it says how the target is now. */
    boolean isFreshlyReported(long nowNanos) {
        return nowNanos - reportedAtNanos < FRESH_NANOS;
    }

    /** Notes that a call was given up after {@code elapsedNanos} without an answer; long silences in a row eject. */
    void onSilence(long nowNanos, long elapsedNanos, long baselineNanos) {
        if (baselineNanos <= 0) {
            return;
        }
        addScore(nowNanos, (double) elapsedNanos / baselineNanos);
        if (elapsedNanos < SILENCE_FACTOR * baselineNanos) {
            return;
        }
        silencesInRow++;
        if (silencesInRow >= SILENCES_TO_EJECT) {
            onFailure(nowNanos, true, true);
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
        addOutcome(nowNanos, true);
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
