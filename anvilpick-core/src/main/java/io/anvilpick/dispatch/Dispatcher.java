package io.anvilpick.dispatch;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import io.anvilpick.config.Configuration;
import io.anvilpick.config.ServiceConfig;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.error.ErrorKind;
import io.anvilpick.limits.ExtraCallBudget;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongConsumer;
import java.util.function.LongFunction;
import java.util.function.ObjLongConsumer;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Assigns the calls of one service to targets. Thread safe: each dispatcher is one shard under its own lock, and no
 * method blocks or invokes callbacks while it holds the lock.
 *
 * <p>This class only decides. Its user sends each assigned call and reports the outcome to {@link #finish}. While a
 * call is queued, the user calls {@link #dispatch} and {@link #withdrawIfLate} periodically.
 */
public final class Dispatcher {
    private final ReentrantLock lock = new ReentrantLock();
    private final TimeSource time;
    private final TargetPolicy policy;
    private final ExtraCallBudget retries;
    private final ExtraCallBudget hedges;
    private final LatencyBaselines baselines = new LatencyBaselines();
    private final ZoneSpill spill;
    private final TargetSet targets;
    private final OutcomeRecorder outcomes;
    private final Placements placements;
    private final WaitingCalls waiting;
    private final ProbeAllowance probes = new ProbeAllowance();
    private @Nullable Configuration configuration;
    private int daemons = 1;

    Dispatcher(DispatcherBuilder builder) {
        this.time = checkNotNull(builder.time, "time");
        this.policy = builder.policy;
        this.retries = builder.retries;
        this.hedges = builder.hedges;
        RandomGenerator random = checkNotNull(builder.random, "random");
        this.spill = spillOf(builder);
        this.targets = new TargetSet(new TargetPicker(policy, random), policy, time, spill);
        this.waiting = new WaitingCalls(CallOrder.of(policy), baselines, random);
        this.outcomes = new OutcomeRecorder(targets, baselines, spill);
        this.placements = new Placements(targets, baselines);
    }

    private static ZoneSpill spillOf(DispatcherBuilder builder) {
        return builder.spillName != null && builder.policy instanceof TargetPolicy.EarliestAnswer earliest
                ? new ZoneSpill(earliest.zone(), builder.spillName)
                : ZoneSpill.disabled();
    }

    /** Returns a new builder. */
    public static DispatcherBuilder builder() {
        return new DispatcherBuilder();
    }

    /**
     * Applies {@code service} of {@code newConfiguration}. Calls in flight and the state of unchanged targets are kept.
     */
    public void configure(ServiceConfig service, Configuration newConfiguration) {
        runLocked(now -> {
            configuration = newConfiguration;
            targets.configure(service, now);
            probes.setTargets(service.targets().size());
        });
    }

    /** Applies {@code service} with the traits of its targets by id. The state of unchanged targets is kept. */
    public void configure(ServiceConfig service, Map<String, TargetTraits> traits) {
        runLocked(now -> {
            targets.configure(service, traits, now);
            probes.setTargets(service.targets().size());
        });
    }

    /** Removes what has been measured of all other request classes than {@code names}. */
    public void retainRequests(Set<String> names) {
        runLocked(now -> baselines.retain(names));
    }

    /** Sets the hosts or addresses that the platform lists as leaving; targets there receive no new calls. */
    public void setLeavingAddresses(Set<String> addresses) {
        runLocked(now -> {
            targets.setLeavingAddresses(addresses);
        });
    }

    /** Sets the zones whose targets get neither calls nor probes. Calls in flight there are not affected. */
    public void setEvacuatedZones(Set<String> zones) {
        runLocked(now -> targets.setEvacuatedZones(zones, now));
    }

    /**
     * Sets whether calls have tenants. If so, tenants are told apart when calls wait, and refused callers return by the rate at which
     * the queue drains. By default they have none.
     */
    public void setHasTenants(boolean hasTenants) {
        runLocked(now -> waiting.setHasTenants(hasTenants));
    }

    /** Sets what may be sent to cold targets; empty if that is not limited. */
    public void setColdTargetRules(Optional<ColdTargetRules> rules) {
        runLocked(now -> targets.setColdTargetRules(rules, now));
    }

    /**
     * Sets the number of daemons, including this one, that may connect to the same targets. Each daemon keeps to its
     * share of the connections and of the probes.
     *
     * @throws IllegalArgumentException if {@code count} is not positive
     */
    public void setDaemonCount(int count) {
        checkArgument(count > 0, "count must be positive: %s", count);
        runLocked(now -> {
            daemons = count;
            probes.setDaemons(count);
            targets.setDaemonCount(count, now);
        });
    }

    /**
     * Limits the load probes that all daemons together send to a target on average. By default there is no limit.
     *
     * @param perTargetAndSecond probes a second; infinite for no limit
     * @throws IllegalArgumentException if {@code perTargetAndSecond} is not positive
     */
    public void setProbeLimit(double perTargetAndSecond) {
        checkArgument(perTargetAndSecond > 0, "perTargetAndSecond must be positive: %s", perTargetAndSecond);
        runLocked(now -> {
            probes.setLimit(perTargetAndSecond);
        });
    }

    /**
     * Returns whether a waiting call is to have targets probed now. Where probes are limited, one round serves all waiting calls, and
     * this returns true once for each round.
     */
    public boolean tryBeginProbesOfWaiting() {
        return locked(now -> probes.tryBeginSharedRound(now));
    }

    /** Records the load that a target reported in reply to a probe. */
    public void recordLoadReport(String targetId, LoadReport report) {
        update(targetId, (state, now) -> {
            targets.recordLoadReport(state, report, now);
            spill.onReport(state, report, now);
        });
    }

    /** Records that a target replied to a load probe without reporting its load. */
    public void recordProbeWithoutLoad(String targetId) {
        update(targetId, (state, now) -> state.onProbe(now, LoadReport.ofInFlight(state.inFlight())));
    }

    /** Records that a target has not replied to a load probe within the usual time. */
    public void recordLateProbe(String targetId) {
        update(targetId, (state, now) -> state.onLateProbe());
    }

    /** Records that a load probe could not reach the target or got no reply. */
    public void recordFailedProbe(String targetId) {
        update(targetId, (state, now) -> state.onConnectionFailure(now, targets.mayEjectMore()));
    }

    /** Records what a target asked for in reply to a probe. */
    public void recordNotice(String targetId, TargetNotice notice) {
        update(targetId, (state, now) -> targets.recordNotice(state, notice, now));
    }

    private void update(String targetId, ObjLongConsumer<TargetState> change) {
        runLocked(now -> {
            TargetState target = targets.find(targetId);
            if (target != null) {
                change.accept(target, now);
            }
        });
    }

    /**
     * Returns up to {@code maxTargets} targets to probe for their load before {@code call} is sent. Returns none if the
     * load of a good target is known already, if the probes are used up, or if the policy is not
     * {@link TargetPolicy.EarliestAnswer}.
     *
     * <p>Under that policy, an ejected target whose recovery is due for a test is returned in addition.
     */
    public ImmutableList<TargetConfig> targetsToProbe(Call call, Set<String> excluded, int maxTargets) {
        return locked(now -> {
            // One more than wanted, for an ejected target whose recovery is due for a test.
            int available = probes.available(maxTargets + 1, now);
            if (available == 0) {
                return ImmutableList.of();
            }
            ImmutableList<TargetConfig> promising =
                    targets.targetsToProbe(placements.pickRequest(call, now, 0), excluded, maxTargets);
            ImmutableList<TargetConfig> allowed = promising.subList(0, Math.min(promising.size(), available));
            probes.spend(allowed.size());
            return allowed;
        });
    }

    /** Submits a new call. */
    public Admission submit(Call call) {
        return locked(now -> {
            Optional<ErrorKind> refusal = refusalToSend(call, now);
            if (refusal.isPresent()) {
                return new Admission.Refused(refusal.get());
            }
            if (targets.isEmpty()) {
                return new Admission.Refused(ErrorKind.NO_TARGET);
            }
            retries.deposit();
            if (hedges != retries) {
                hedges.deposit();
            }
            waiting.onAsked(call, now);
            if (waiting.size() == 0) {
                TargetState target = targets.pick(placements.pickRequest(call, now, 0), Set.of());
                if (target != null) {
                    waiting.onSent(call, now);
                    return new Admission.Assigned(placements.assign(call, target, now));
                }
            }
            return enqueue(call, Set.of(), now);
        });
    }

    /**
     * Submits again a call that is idempotent or whose earlier assignment is known not to have run. Charges the retry
     * budget.
     *
     * @param failed the ids of the targets that the call has been sent to
     */
    public Admission retry(Call call, Set<String> failed) {
        return locked(now -> {
            if (refusalToSend(call, now).isEmpty() && !retries.tryWithdraw()) {
                return new Admission.Refused(ErrorKind.OVERLOADED);
            }
            return readmit(call, failed, now);
        });
    }

    /**
     * Submits again a call whose last assignment did not reach its target. Charges no budget.
     *
     * @param failed the ids of the targets that the call has been assigned to
     */
    public Admission resubmit(Call call, Set<String> failed) {
        return locked(now -> readmit(call, failed, now));
    }

    /** Records the outcome of {@code assignment} and drains the queue as {@link #dispatch} does. */
    public DispatchResult finish(Assignment assignment, CallResult result) {
        return locked(now -> {
            TargetState target = targets.find(assignment.target().id());
            if (target != null && target.finish(assignment)) {
                outcomes.recordOutcome(target, assignment, result, now);
            }
            return drain(now);
        });
    }

    /**
     * Drains the queue: returns the calls that can be assigned now and those that can no longer be answered in time.
     */
    public DispatchResult dispatch() {
        return locked(now -> drain(now));
    }

    /**
     * Sets the time after which the daemon delivers no more answers, and removes and returns the queued calls that cannot be
     * answered by then. From now on, calls that cannot are refused.
     */
    public DispatchResult stopBy(Deadline end) {
        return locked(now -> waiting.stopBy(end, targets.room(now), now));
    }

    /** Removes {@code call} from the queue and returns the reason if it can no longer be answered in time. */
    public Optional<ErrorKind> withdrawIfLate(Call call) {
        return locked(now -> waiting.withdrawIfLate(call, hindrance(now), now));
    }

    /**
     * Returns when the caller of {@code call}, which was refused, should return, so that the queue has drained by then; empty if it
     * is not known how fast it drains.
     */
    public Optional<Duration> retryAfter(Call call) {
        return locked(now -> waiting.retryAfter(call, weightOf(call), now));
    }

    /** Removes {@code call} from the queue; returns false if it is not queued. */
    public boolean cancel(Call call) {
        return locked(now -> waiting.remove(call, now));
    }

    /**
     * Returns the nanoseconds after which {@code call}, which is sent now, may be hedged, or zero before the first answer of its
     * class without a server error.
     */
    public long hedgeDelayNanos(Call call) {
        return locked(now -> {
            LatencyBaseline baseline = baselines.of(call.request());
            long goalNanos = call.goal().remainingNanos(now);
            return policy.hedgeDelayNanos(baseline.medianNanos(), baseline.hedgeDelayNanos(), goalNanos);
        });
    }

    /**
     * Returns a second assignment for an idempotent call whose assignment {@code first} is late. Returns empty if the
     * budget or the free slots do not allow one, if calls are queued, or if the policy does not queue calls.
     */
    public Optional<Assignment> hedge(Assignment first) {
        return hedge(first, Set.of(first.target().id()));
    }

    /**
     * Returns another assignment for an idempotent call whose assignment {@code first} is late. Returns empty if the
     * budget or the free slots do not allow one, if calls are queued, or if the policy does not queue calls.
     *
     * @param tried the ids of the targets that the call has been sent to
     */
    public Optional<Assignment> hedge(Assignment first, Set<String> tried) {
        return locked(now -> {
            Call call = first.call();
            boolean allowed = call.request().idempotent()
                    && policy.queuesCalls()
                    && waiting.size() == 0
                    && waiting.refusalToSend(call, now).isEmpty();
            if (!allowed) {
                return Optional.empty();
            }
            TargetState target = targets.pick(placements.pickRequest(call, now, 0), tried);
            if (target == null || !hedges.tryWithdraw()) {
                return Optional.empty();
            }
            return Optional.of(placements.assign(call, target, now));
        });
    }

    /** Returns the number of queued calls. */
    public int waitingCalls() {
        return locked(now -> waiting.size());
    }

    /** Returns the present state of each target. */
    public ImmutableList<TargetView> targets() {
        return locked(now -> targets.views(now));
    }

    /** Returns which calls leave the zone at present. */
    public SpillVerdict spill() {
        return locked(now -> targets.spill(now));
    }

    private <T> T locked(LongFunction<T> decision) {
        lock.lock();
        try {
            return decision.apply(time.nanos());
        } finally {
            lock.unlock();
        }
    }

    private void runLocked(LongConsumer change) {
        lock.lock();
        try {
            change.accept(time.nanos());
        } finally {
            lock.unlock();
        }
    }

    /** Returns why {@code call} is not to be sent at once; empty if it may be sent. */
    private Optional<ErrorKind> refusalToSend(Call call, long now) {
        return waiting.refusalToSend(call, now).or(() -> refusalOfEvacuation(now));
    }

    private WaitingCalls.Hindrance hindrance(long now) {
        return new WaitingCalls.Hindrance(refusalOfEvacuation(now), targets.waitNanos(now));
    }

    private Optional<ErrorKind> refusalOfEvacuation(long now) {
        return targets.isEvacuated(now) ? Optional.of(ErrorKind.ZONES_EVACUATED) : Optional.empty();
    }

    private Admission readmit(Call call, Set<String> failed, long now) {
        Optional<ErrorKind> refusal = refusalToSend(call, now);
        if (refusal.isPresent()) {
            return new Admission.Refused(refusal.get());
        }
        waiting.onAsked(call, now);
        TargetState target = targets.pick(placements.pickRequest(call, now, 0), failed);
        if (target == null) {
            return enqueue(call, failed, now);
        }
        waiting.onSent(call, now);
        return new Admission.Assigned(placements.assign(call, target, now));
    }

    private Admission enqueue(Call call, Set<String> failed, long now) {
        Admission admission = waiting.add(
                call,
                failed,
                placements.forWaiting(this::weightOf, waiting.size(), now),
                targets.room(now),
                targets.restNanos(now),
                daemons > 1,
                now);
        if (admission instanceof Admission.Waiting) {
            spill.onQueued(now);
        }
        return admission;
    }

    private DispatchResult drain(long now) {
        return waiting.drain(placements.forWaiting(this::weightOf, waiting.size(), now), hindrance(now), now);
    }

    private int weightOf(Call call) {
        return configuration == null ? 1 : configuration.weightOf(call.tenant());
    }
}
