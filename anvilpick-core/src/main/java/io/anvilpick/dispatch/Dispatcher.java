package io.anvilpick.dispatch;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import io.anvilpick.config.Configuration;
import io.anvilpick.config.RequestConfig;
import io.anvilpick.config.ServiceConfig;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.error.ErrorKind;
import io.anvilpick.limits.ExtraCallBudget;
import io.anvilpick.limits.ShareBudget;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
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
    private static final int RETRY_PERCENT = 10;
    private static final int RETRY_RESERVE = 10;
    private static final int HEDGE_PERCENT = 10;
    private static final int HEDGE_RESERVE = 10;

    private final ReentrantLock lock = new ReentrantLock();
    private final TimeSource time;
    private final TargetPolicy policy;
    private final ExtraCallBudget retries;
    private final ExtraCallBudget hedges;
    private final CallQueue queue = new CallQueue();

    private final LatencyBaselines baselines = new LatencyBaselines();
    private final ZoneSpill spill;
    private final TargetSet targets;
    private final OutcomeRecorder outcomes;
    private final AdmissionLimits limits = new AdmissionLimits(baselines);
    private @Nullable Configuration configuration;
    private long nextAssignmentId;

    private Dispatcher(Builder builder) {
        this.time = checkNotNull(builder.time, "time");
        this.policy = builder.policy;
        this.retries = builder.retries;
        this.hedges = builder.hedges;
        this.spill = spillOf(builder);
        this.targets =
                new TargetSet(new TargetPicker(policy, checkNotNull(builder.random, "random")), policy, time, spill);
        this.outcomes = new OutcomeRecorder(targets, baselines, spill);
    }

    private static ZoneSpill spillOf(Builder builder) {
        return builder.spillName != null && builder.policy instanceof TargetPolicy.EarliestAnswer earliest
                ? new ZoneSpill(earliest.zone(), builder.spillName)
                : ZoneSpill.disabled();
    }

    /** Returns a new builder. */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Applies {@code service} of {@code newConfiguration}. Calls in flight and the state of unchanged targets are kept.
     */
    public void configure(ServiceConfig service, Configuration newConfiguration) {
        lock.lock();
        try {
            configuration = newConfiguration;
            targets.configure(service, time.nanos());
        } finally {
            lock.unlock();
        }
    }

    /** Applies {@code service} with the traits of its targets by id. The state of unchanged targets is kept. */
    public void configure(ServiceConfig service, Map<String, TargetTraits> traits) {
        lock.lock();
        try {
            targets.configure(service, traits, time.nanos());
        } finally {
            lock.unlock();
        }
    }

    /** Sets the hosts or addresses that the platform lists as leaving; targets there receive no new calls. */
    public void setLeavingAddresses(Set<String> addresses) {
        lock.lock();
        try {
            targets.setLeavingAddresses(addresses);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Sets the number of daemons, including this one, that may connect to the same targets. Each daemon keeps to its
     * share of the connections.
     *
     * @throws IllegalArgumentException if {@code count} is not positive
     */
    public void setDaemonCount(int count) {
        checkArgument(count > 0, "count must be positive: %s", count);
        lock.lock();
        try {
            targets.setDaemonCount(count, time.nanos());
        } finally {
            lock.unlock();
        }
    }

    /** Records the load that a target reported in reply to a probe. */
    public void recordLoadReport(String targetId, LoadReport report) {
        update(targetId, (state, now) -> {
            state.onProbe(now, report);
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
        lock.lock();
        try {
            TargetState target = targets.find(targetId);
            if (target != null) {
                change.accept(target, time.nanos());
            }
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns up to {@code maxTargets} targets to probe for their load before {@code call} is sent. Returns none if the
     * load of a good target is known already, or if the policy is not {@link TargetPolicy.EarliestAnswer}.
     *
     * <p>Under that policy, an ejected target whose recovery is due for a test is returned in addition.
     */
    public ImmutableList<TargetConfig> targetsToProbe(Call call, Set<String> excluded, int maxTargets) {
        lock.lock();
        try {
            return targets.targetsToProbe(pickRequest(call, time.nanos(), 0), excluded, maxTargets);
        } finally {
            lock.unlock();
        }
    }

    /** Submits a new call. */
    public Admission submit(Call call) {
        lock.lock();
        try {
            long now = time.nanos();
            Optional<ErrorKind> refusal = limits.refusalToSend(call, now);
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
            if (queue.size() == 0) {
                TargetState target = targets.pick(pickRequest(call, now, 0), Set.of());
                if (target != null) {
                    return new Admission.Assigned(assign(call, target, now));
                }
            }
            return enqueue(call, Set.of(), now);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Submits again a call that is idempotent or whose earlier assignment is known not to have run. Charges the retry
     * budget.
     *
     * @param failed the ids of the targets that the call has been sent to
     */
    public Admission retry(Call call, Set<String> failed) {
        lock.lock();
        try {
            long now = time.nanos();
            if (limits.refusalToSend(call, now).isEmpty() && !retries.tryWithdraw()) {
                return new Admission.Refused(ErrorKind.OVERLOADED);
            }
            return readmit(call, failed, now);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Submits again a call whose last assignment did not reach its target. Charges no budget.
     *
     * @param failed the ids of the targets that the call has been assigned to
     */
    public Admission resubmit(Call call, Set<String> failed) {
        lock.lock();
        try {
            return readmit(call, failed, time.nanos());
        } finally {
            lock.unlock();
        }
    }

    /** Records the outcome of {@code assignment} and drains the queue as {@link #dispatch} does. */
    public DispatchResult finish(Assignment assignment, CallResult result) {
        lock.lock();
        try {
            long now = time.nanos();
            TargetState target = targets.find(assignment.target().id());
            if (target != null && target.finish(assignment)) {
                outcomes.recordOutcome(target, assignment, result, now);
            }
            return drain(now);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Drains the queue: returns the calls that can be assigned now and those that can no longer be answered in time.
     */
    public DispatchResult dispatch() {
        lock.lock();
        try {
            return drain(time.nanos());
        } finally {
            lock.unlock();
        }
    }

    /**
     * Sets the time after which the daemon delivers no more answers, and removes and returns the queued calls that cannot be
     * answered by then. From now on, calls that cannot are refused.
     */
    public DispatchResult stopBy(Deadline end) {
        lock.lock();
        try {
            long now = time.nanos();
            Room room = targets.room(now);
            limits.stopBy(end);
            return new DispatchResult(
                    ImmutableList.of(), queue.refuse((call, ahead) -> limits.refusalToWait(call, ahead, room, now)));
        } finally {
            lock.unlock();
        }
    }

    /** Removes {@code call} from the queue and returns the reason if it can no longer be answered in time. */
    public Optional<ErrorKind> withdrawIfLate(Call call) {
        lock.lock();
        try {
            long now = time.nanos();
            return limits.refusalOfWaiting(call, targets.restNanos(now), now).filter(kind -> queue.remove(call));
        } finally {
            lock.unlock();
        }
    }

    /** Removes {@code call} from the queue; returns false if it is not queued. */
    public boolean cancel(Call call) {
        lock.lock();
        try {
            return queue.remove(call);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the nanoseconds after which {@code call}, which is sent now, may be hedged, or zero before the first answer of its
     * class without a server error.
     */
    public long hedgeDelayNanos(Call call) {
        lock.lock();
        try {
            LatencyBaseline baseline = baselines.of(call.request());
            long goalNanos = call.goal().remainingNanos(time.nanos());
            return policy.hedgeDelayNanos(baseline.medianNanos(), baseline.hedgeDelayNanos(), goalNanos);
        } finally {
            lock.unlock();
        }
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
        lock.lock();
        try {
            long now = time.nanos();
            Call call = first.call();
            boolean allowed = call.request().idempotent()
                    && policy.queuesCalls()
                    && queue.size() == 0
                    && limits.refusalToSend(call, now).isEmpty();
            if (!allowed) {
                return Optional.empty();
            }
            TargetState target = targets.pick(pickRequest(call, now, 0), tried);
            if (target == null || !hedges.tryWithdraw()) {
                return Optional.empty();
            }
            return Optional.of(assign(call, target, now));
        } finally {
            lock.unlock();
        }
    }

    /** Returns the number of queued calls. */
    public int waitingCalls() {
        lock.lock();
        try {
            return queue.size();
        } finally {
            lock.unlock();
        }
    }

    /** Returns the present state of each target. */
    public ImmutableList<TargetView> targets() {
        lock.lock();
        try {
            return targets.views(time.nanos());
        } finally {
            lock.unlock();
        }
    }

    /** Returns which calls leave the zone at present. */
    public SpillVerdict spill() {
        lock.lock();
        try {
            return targets.spill(time.nanos());
        } finally {
            lock.unlock();
        }
    }

    private Admission readmit(Call call, Set<String> failed, long now) {
        Optional<ErrorKind> refusal = limits.refusalToSend(call, now);
        if (refusal.isPresent()) {
            return new Admission.Refused(refusal.get());
        }
        TargetState target = targets.pick(pickRequest(call, now, 0), failed);
        return target != null ? new Admission.Assigned(assign(call, target, now)) : enqueue(call, failed, now);
    }

    private Admission enqueue(Call call, Set<String> failed, long now) {
        int weight = weightOf(call);
        double ahead = queue.callsAhead(call.tenant(), weight);
        Optional<ErrorKind> refusal = limits.refusalToWait(call, ahead, targets.room(now), now);
        if (refusal.isPresent()) {
            return new Admission.Refused(refusal.get(), limits.retryAfter(call, targets.room(now), now));
        }
        spill.onQueued(now);
        queue.add(call, weight, failed);
        return new Admission.Waiting();
    }

    private DispatchResult drain(long now) {
        long restNanos = targets.restNanos(now);
        return queue.drain(new CallQueue.DrainPolicy() {
            @Override
            public Optional<ErrorKind> refusalOf(Call call) {
                return limits.refusalOfWaiting(call, restNanos, now);
            }

            @Override
            public boolean willMissGoal(Call call) {
                return !call.goal().equals(call.deadline())
                        && call.goal().remainingNanos(now) < baselineNanos(call.request());
            }

            @Override
            public int weightOf(Call call) {
                return Dispatcher.this.weightOf(call);
            }

            @Override
            public @Nullable Assignment tryAssign(Call call, int queued, Set<String> failed) {
                TargetState target = targets.pickAgain(pickRequest(call, now, queued), failed);
                return target == null ? null : assign(call, target, now);
            }
        });
    }

    private int weightOf(Call call) {
        return configuration == null ? 1 : configuration.weightOf(call.tenant());
    }

    private Assignment assign(Call call, TargetState target, long now) {
        long baselineNanos = baselineNanos(call.request());
        Assignment assignment = new Assignment(
                nextAssignmentId++,
                call,
                target.config(),
                now,
                target.expectedSlowdown(now, baselineNanos),
                target.occupancy(now));
        target.start(assignment, baselineNanos);
        return assignment;
    }

    private TargetPicker.PickRequest pickRequest(Call call, long now, int queued) {
        return new TargetPicker.PickRequest(call.id(), now, call.goal(), baselineNanos(call.request()), queued);
    }

    private long baselineNanos(RequestConfig request) {
        return baselines.medianNanos(request);
    }

    /** A builder of dispatchers. Not thread safe. */
    public static final class Builder {
        private @Nullable TimeSource time;
        private @Nullable RandomGenerator random;
        private @Nullable String spillName;
        private TargetPolicy policy = new TargetPolicy.LateBinding();
        private ExtraCallBudget retries = ShareBudget.ofPercent(RETRY_PERCENT, RETRY_RESERVE);
        private ExtraCallBudget hedges = ShareBudget.ofPercent(HEDGE_PERCENT, HEDGE_RESERVE);

        private Builder() {}

        /** Sets the time source. */
        public Builder time(TimeSource value) {
            time = value;
            return this;
        }

        /** Sets the random generator. The dispatcher uses it only under its lock. */
        public Builder random(RandomGenerator value) {
            random = value;
            return this;
        }

        /** Sets the policy by which targets are selected; {@link TargetPolicy.LateBinding} by default. */
        public Builder policy(TargetPolicy value) {
            policy = value;
            return this;
        }

        /**
         * Lets a share of the calls leave the zone when the zone's targets have too little room, under
         * {@link TargetPolicy.EarliestAnswer}. Without this, each call is placed by its own estimates alone.
         *
         * @param daemon the name of this daemon, by which it ranks the targets of other zones
         */
        public Builder spillAs(String daemon) {
            spillName = daemon;
            return this;
        }

        /** Sets one budget for both retries and hedges. By default each has a budget of its own. */
        public Builder extraCalls(ExtraCallBudget value) {
            retries = value;
            hedges = value;
            return this;
        }

        /**
         * Returns the dispatcher.
         *
         * @throws NullPointerException if time or random were not set
         */
        public Dispatcher build() {
            return new Dispatcher(this);
        }
    }
}
