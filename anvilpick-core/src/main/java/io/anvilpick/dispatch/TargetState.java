package io.anvilpick.dispatch;

import io.anvilpick.config.TargetConfig;
import io.anvilpick.time.Deadline;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The state of one target as a dispatcher observes it: health, calls in flight, latency and reported load. Guarded by
 * the dispatcher's lock.
 *
 * <p>Estimates decay exponentially towards their defaults with the half-lives below.
 */
final class TargetState {
    private static final long FAILURE_HALF_LIFE_NANOS = 2_000_000_000L;
    private static final double FAILURE_SAMPLE_WEIGHT = 0.25;
    private static final double FAILURE_PENALTY = 8.0;

    /** Factor on the expected slowdown of a target that is not warm yet. */
    private static final double COLD_FACTOR = 2.0;

    /** Share of its slots above which a target counts as nearly full. */
    private static final double NEAR_FULL_SHARE = 0.8;

    private static final double OCCUPANCY_PENALTY = 0.15;

    /** Multiple of the baseline from which an unanswered call counts towards an ejection. */
    private static final double UNANSWERED_FACTOR = 3.0;

    private static final int UNANSWERED_TO_EJECT = 2;

    /** Factor on the expected slowdown of a target whose probe reply is late. */
    private static final double LATE_PROBE_FACTOR = 4.0;

    /**
     * Number of calls by which the occupancy may exceed {@link #NEAR_FULL_SHARE} of the slots without effect. It allows
     * for the decayed estimate of other daemons' calls.
     */
    private static final double NEAR_FULL_TOLERANCE = 0.1;

    /**
     * Number of calls by which the occupancy may exceed the slots. It allows for the decayed estimate of other daemons'
     * calls.
     */
    private static final double SLOT_TOLERANCE = 0.5;

    private final TargetConfig config;
    private final int slots;
    private final Map<Long, Running> inFlight = new HashMap<>();
    private final Deadline warmAt;
    private final long bornMillis;
    private final ServiceEstimates estimates;
    private final TargetHealth health = new TargetHealth();
    private int limit;
    private int consecutiveUnanswered;
    private double failureRate;
    private long failureAtNanos;
    private boolean probeLate;
    private SlownessScore score;
    private ReportedLoad reported;

    /** A call in flight and the baseline latency of its request class, zero if unknown. */
    private record Running(Assignment assignment, long baselineNanos) {}

    TargetState(TargetConfig config, int slots, boolean skipSlowStart, long nowNanos, ServiceEstimates estimates) {
        this(config, new TargetTraits(slots, new Deadline(nowNanos)), skipSlowStart, nowNanos, estimates);
    }

    /**
     * Creates the state of a target that stated when it is warm. It needs no slow start: its limit equals its slots
     * from the beginning.
     */
    TargetState(TargetConfig config, TargetTraits traits, long nowNanos, ServiceEstimates estimates) {
        this(config, traits, true, nowNanos, estimates);
    }

    private TargetState(
            TargetConfig config,
            TargetTraits traits,
            boolean skipSlowStart,
            long nowNanos,
            ServiceEstimates estimates) {
        this.estimates = estimates;
        this.config = config;
        this.slots = traits.slots();
        this.limit = skipSlowStart ? slots : 1;
        this.warmAt = traits.warmAt();
        this.bornMillis = traits.bornMillis();
        this.failureAtNanos = nowNanos;
        this.score = new SlownessScore(nowNanos);
        this.reported = new ReportedLoad(estimates.typicalLoad(), nowNanos);
    }

    TargetConfig config() {
        return config;
    }

    /** Returns the target's start time, or {@link TargetTraits#UNKNOWN_START}. */
    long bornMillis() {
        return bornMillis;
    }

    /** Returns the time from which the target is warm, by its registration. */
    Deadline warmAt() {
        return warmAt;
    }

    /** Returns a state for a changed configuration of the same target, with the observations of this state. */
    TargetState reconfigured(TargetConfig changed, int changedSlots, long nowNanos) {
        TargetTraits traits = new TargetTraits(changedSlots, warmAt, bornMillis);
        return reconfigured(changed, traits, nowNanos);
    }

    /** Returns a state for changed traits of the same target, with the observations of this state. */
    TargetState reconfigured(TargetConfig changed, TargetTraits traits, long nowNanos) {
        return copyTo(new TargetState(changed, traits, nowNanos, estimates), traits.slots());
    }

    private TargetState copyTo(TargetState next, int changedSlots) {
        next.inFlight.putAll(inFlight);
        next.consecutiveUnanswered = consecutiveUnanswered;
        next.failureRate = failureRate;
        next.failureAtNanos = failureAtNanos;
        next.probeLate = probeLate;
        next.reported = reported;
        health.copyTo(next.health);
        next.limit = Math.min(limit, changedSlots);
        next.score = score;
        return next;
    }

    int inFlight() {
        return inFlight.size();
    }

    int limit() {
        return limit;
    }

    int reportedInFlight() {
        return reported.inFlight();
    }

    /** Returns whether a slot is free, given this daemon's calls and those of others according to a recent report. */
    boolean hasFreeSlot(long nowNanos) {
        return inFlight.size() + reported.recentOtherCalls(nowNanos) < limit;
    }

    /**
     * Returns whether the target accepts new calls. An ejected target does once its ejection is over and it has none in
     * flight.
     */
    boolean mayServe(long nowNanos) {
        return !config.leaving() && health.mayServe(nowNanos, inFlight.isEmpty());
    }

    /**
     * Returns whether the target is registered as leaving or another one has its address. It then receives no new calls even if no
     * other target is available.
     */
    boolean isLeaving(long nowNanos) {
        return config.leaving() || health.isReplaced(nowNanos);
    }

    boolean isEjected() {
        return health.isEjected();
    }

    /**
     * Returns how slow the target is compared with the others: one as usual, larger if slower. The result is the
     * decayed mean of the slowdowns of its answered and abandoned calls, or the slowdown so far of its most overdue
     * call, whichever is larger. A call in flight is overdue if its slowdown so far exceeds {@link #SlownessScore.SLOW}. If
     * {@code baselineNanos} is zero, calls in flight do not count. O(calls in flight).
     */
    double score(long nowNanos, long baselineNanos) {
        double decayed = score.at(nowNanos);
        if (baselineNanos <= 0) {
            return decayed;
        }
        double overdue = 0;
        for (Running running : inFlight.values()) {
            long expectedNanos = running.baselineNanos() > 0 ? running.baselineNanos() : baselineNanos;
            overdue =
                    Math.max(overdue, (double) (nowNanos - running.assignment().startedNanos()) / expectedNanos);
        }
        return overdue > SlownessScore.SLOW ? Math.max(decayed, overdue) : decayed;
    }

    /**
     * Returns the expected latency of an answer as a multiple of the baseline. It depends on the observed and the
     * reported slowness, on whether the target is cold, nearly full or late with a probe reply, on its failure rate and
     * on its load.
     */
    double expectedSlowdown(long nowNanos, long baselineNanos) {
        double slow = Math.max(score(nowNanos, baselineNanos), reported.slowness(nowNanos));
        double cold = warmAt.remainingNanos(nowNanos) > 0 ? COLD_FACTOR : 1;
        double load = (occupancy(nowNanos) + 1) / slots;
        double full =
                isNearlyFull(occupancy(nowNanos)) ? estimates.nearFullSlowdown().factor() : 1;
        double lateProbe = probeLate ? LATE_PROBE_FACTOR : 1;
        return slow * cold * full * lateProbe * (1 + FAILURE_PENALTY * failureRateAt(nowNanos))
                + OCCUPANCY_PENALTY * load;
    }

    /** Returns whether one more call makes the target nearly full, given its {@code occupancy}. */
    boolean isNearlyFull(double occupancy) {
        return occupancy + 1 > slots * NEAR_FULL_SHARE + NEAR_FULL_TOLERANCE;
    }

    /**
     * Returns the estimated calls at the target: this daemon's, plus those of others from the last report, which gives way to the
     * typical number as it ages.
     */
    double occupancy(long nowNanos) {
        return inFlight.size() + reported.otherCalls(nowNanos);
    }

    /** Returns whether one more call is expected to find a slot that is worth filling. */
    boolean hasRoom(long nowNanos) {
        return fits(occupancy(nowNanos) + 1);
    }

    /** Returns whether one more call may find a slot that is worth filling, by the last report of this target alone. */
    boolean mayHaveRoom(long nowNanos) {
        return fits(inFlight.size() + reported.knownOtherCalls(nowNanos) + 1);
    }

    /** Returns whether the target can take one more call without delay, by its {@code report} alone. */
    boolean hasRoomBy(LoadReport report) {
        return fits(report.inFlight() + 1) && report.slowness() < SlownessScore.SLOW;
    }

    private boolean fits(double calls) {
        return calls <= Math.min(limit, worthwhileSlots()) + SLOT_TOLERANCE;
    }

    /**
     * Returns the number of slots worth filling. All calls on a nearly full target may take longer. Its last slots are
     * used only if they add more throughput than that slowdown costs.
     */
    private int worthwhileSlots() {
        int below = (int) Math.max(1, Math.floor(slots * NEAR_FULL_SHARE));
        return slots >= below * estimates.nearFullSlowdown().factor() ? slots : below;
    }

    private double failureRateAt(long nowNanos) {
        return failureRate * decay(nowNanos - failureAtNanos, FAILURE_HALF_LIFE_NANOS);
    }

    private void addFailureSample(long nowNanos, boolean failed) {
        double rate = failureRateAt(nowNanos);
        failureRate = rate + FAILURE_SAMPLE_WEIGHT * ((failed ? 1 : 0) - rate);
        failureAtNanos = nowNanos;
    }

    private static double decay(long elapsedNanos, long halfLifeNanos) {
        return Math.pow(2, -(double) elapsedNanos / halfLifeNanos);
    }

    /** Returns whether the target has repeatedly been slow and will probably be slow again. */
    boolean isPersistentlySlow() {
        return score.isPersistentlySlow();
    }

    /**
     * Records a call sent to the target; {@code baselineNanos} is the baseline of its request class, zero if unknown.
     */
    void start(Assignment assignment, long baselineNanos) {
        inFlight.put(assignment.id(), new Running(assignment, baselineNanos));
    }

    /** Removes {@code assignment} from the calls in flight; returns false if it was not among them. */
    boolean finish(Assignment assignment) {
        return inFlight.remove(assignment.id()) != null;
    }

    void onAnswer(long nowNanos, long latencyNanos, long baselineNanos, Optional<LoadReport> report) {
        consecutiveUnanswered = 0;
        addFailureSample(nowNanos, false);
        if (health.onSuccess()) {
            limit = 1;
        }
        limit = Math.min(slots, limit + 1);
        if (baselineNanos > 0) {
            score.add(nowNanos, latencyNanos, baselineNanos);
        }
        report.ifPresent(each -> onReport(nowNanos, each));
    }

    /** Records the load reported with an answer, in which the target may still count the answered call. */
    void onReport(long nowNanos, LoadReport report) {
        recordReport(nowNanos, report, inFlight.size() + 1);
    }

    private void recordReport(long nowNanos, LoadReport report, int ownCalls) {
        reported.record(nowNanos, report, ownCalls);
        probeLate = false;
    }

    /**
     * Records the load reported in reply to a probe, which includes this daemon's calls in flight. Ends an ejection.
     */
    void onProbe(long nowNanos, LoadReport report) {
        health.onProbe();
        recordReport(nowNanos, report, inFlight.size());
    }

    /** Records that the reply to a load probe is late. */
    void onLateProbe() {
        probeLate = true;
    }

    /** Records that a probe tests the ejected target for recovery. The target stays ejected until the probe yields a result. */
    void onRecoveryProbe(long nowNanos) {
        health.onRecoveryProbe(nowNanos);
    }

    /** Returns whether the last load report is recent enough to reflect the present load. */
    boolean isFreshlyReported(long nowNanos) {
        return reported.isFresh(nowNanos);
    }

    /**
     * Records that a call was abandoned after {@code elapsedNanos} without an answer. Consecutive calls that were
     * unanswered for long eject the target.
     */
    void onUnanswered(long nowNanos, long elapsedNanos, long baselineNanos) {
        if (baselineNanos <= 0) {
            return;
        }
        score.add(nowNanos, elapsedNanos, baselineNanos);
        if (elapsedNanos < UNANSWERED_FACTOR * baselineNanos) {
            return;
        }
        consecutiveUnanswered++;
        if (consecutiveUnanswered >= UNANSWERED_TO_EJECT) {
            onFailure(nowNanos, true, true);
        }
    }

    void onShed() {
        limit = Math.max(1, Math.min(limit, inFlight.size()));
    }

    /**
     * Records that a connection could not be established or was lost. A target that is known to be full may have reset it for want
     * of room: that counts as a rejection and ejects the target only if it persists. Otherwise the target is ejected at once.
     */
    void onConnectionFailure(long nowNanos, boolean mayEject) {
        if (occupancy(nowNanos) < slots - SLOT_TOLERANCE) {
            onFailure(nowNanos, true, true);
            return;
        }
        onShed();
        onFailure(nowNanos, false, mayEject);
    }

    /** Records that the target wants rest. It then gets one call at first, and one more with each answer. */
    void onRest() {
        limit = 1;
    }

    void onReplaced(long nowNanos) {
        health.onReplaced(nowNanos);
    }

    /** Records a failure, as {@link TargetHealth#onFailure} explains. */
    void onFailure(long nowNanos, boolean conclusive, boolean mayEject) {
        addFailureSample(nowNanos, true);
        health.onFailure(nowNanos, isLeaving(nowNanos), conclusive, mayEject);
    }
}
