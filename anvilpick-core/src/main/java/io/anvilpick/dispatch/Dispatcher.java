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
import io.anvilpick.time.TimeSource;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.ObjLongConsumer;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Chooses a target for each call of one service. Thread safe; each dispatcher is one shard under its own lock, and no
 * method blocks or calls out while holding it.
 *
 * <p>The caller of this class carries out what it decides: it sends assigned calls and reports how each ended; while a
 * call waits, it calls {@link #dispatch} now and then, and {@link #cancel} once the call's deadline has passed.
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
    private final HeldCalls held = new HeldCalls();

    private final Baselines baselines = new Baselines();
    private final TargetSet targets;
    private final CallOutcomes outcomes;
    private @Nullable Configuration configuration;
    private long nextAssignmentId;

    private Dispatcher(Builder builder) {
        this.time = checkNotNull(builder.time, "time");
        this.policy = builder.policy;
        this.retries = builder.retries;
        this.hedges = builder.hedges;
        this.targets = new TargetSet(new TargetPicker(policy, checkNotNull(builder.random, "random")), policy, time);
        this.outcomes = new CallOutcomes(targets, baselines);
    }

    /** Returns a builder. */
    public static Builder builder() {
        return new Builder();
    }

    /** Puts {@code service} of {@code whole} in force; calls in flight and what was learnt stay. */
    public void configure(ServiceConfig service, Configuration whole) {
        lock.lock();
        try {
            configuration = whole;
            targets.configure(service, time.nanos());
        } finally {
            lock.unlock();
        }
    }

    /** Puts {@code service} in force with what its targets told of themselves, by id; what was learnt stays. */
    public void configure(ServiceConfig service, Map<String, TargetTraits> traits) {
        lock.lock();
        try {
            targets.configure(service, traits, time.nanos());
        } finally {
            lock.unlock();
        }
    }

    /** Notes which hosts or addresses the platform lists as leaving; their targets get no new calls. */
    public void setLeavingAddresses(Set<String> addresses) {
        lock.lock();
        try {
            targets.setLeavingAddresses(addresses);
        } finally {
            lock.unlock();
        }
    }

    /** Notes how many daemons, this one among them, may connect to the same targets; each keeps to its share. */
    public void setDaemonCount(int count) {
        checkArgument(count > 0, "count must be positive: %s", count);
        lock.lock();
        try {
            targets.setDaemonCount(count, time.nanos());
        } finally {
            lock.unlock();
        }
    }

    /** Notes what a target says of its load when asked. */
    public void recordLoadReport(String target, LoadReport report) {
        note(target, (known, now) -> known.onProbe(now, report));
    }

    /** Notes that a target answered when asked for its load and did not tell it. */
    public void recordProbeWithoutLoad(String target) {
        note(target, (known, now) -> known.onProbe(now, LoadReport.ofInFlight(known.inFlight())));
    }

    /** Notes that a target has not answered in the time in which it usually tells its load. */
    public void recordLateProbe(String target) {
        note(target, (known, now) -> known.onSilentProbe());
    }

    /** Notes that a target could not be reached, or did not answer at all, when asked for its load. */
    public void recordFailedProbe(String target) {
        note(target, (known, now) -> known.onFailure(now, true, true));
    }

    /** Notes that another target has the address of a target. */
    public void recordReplaced(String target) {
        note(target, TargetState::onDraining);
    }

    private void note(String target, ObjLongConsumer<TargetState> fact) {
        lock.lock();
        try {
            TargetState known = targets.find(target);
            if (known != null) {
                fact.accept(known, time.nanos());
            }
        } finally {
            lock.unlock();
        }
    }

    /** Returns up to {@code most} targets whose load {@code call} should know; none if a good one is known already. */
    public ImmutableList<TargetConfig> targetsToProbe(Call call, Set<String> excluded, int most) {
        lock.lock();
        try {
            return targets.targetsToProbe(wanted(call, time.nanos(), 0), excluded, most);
        } finally {
            lock.unlock();
        }
    }

    /** Takes a new call. */
    public Admission submit(Call call) {
        lock.lock();
        try {
            long now = time.nanos();
            if (call.deadline().remainingNanos(now) <= 0) {
                return new Admission.Refused(ErrorKind.DEADLINE_BEFORE_SEND);
            }
            if (targets.isEmpty()) {
                return new Admission.Refused(ErrorKind.NO_TARGET);
            }
            retries.earn();
            if (hedges != retries) {
                hedges.earn();
            }
            if (held.size() == 0) {
                TargetState target = targets.pick(wanted(call, now, 0), Set.of());
                if (target != null) {
                    return new Admission.Assigned(assign(call, target, now));
                }
            }
            return hold(call, now);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Takes a call again whose earlier assignment certainly did not run it, or which is idempotent.
     *
     * @param failed targets that it has been sent to already
     */
    public Admission retry(Call call, Set<String> failed) {
        lock.lock();
        try {
            long now = time.nanos();
            if (call.deadline().remainingNanos(now) > 0 && !retries.tryTake()) {
                return new Admission.Refused(ErrorKind.OVERLOADED);
            }
            return readmit(call, failed, now);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Takes a call again that has reached no target yet, which costs no budget.
     *
     * @param failed targets that could not be reached
     */
    public Admission resubmit(Call call, Set<String> failed) {
        lock.lock();
        try {
            return readmit(call, failed, time.nanos());
        } finally {
            lock.unlock();
        }
    }

    /** Notes how {@code assignment} ended, and returns the waiting calls that may go now. */
    public DispatchResult finish(Assignment assignment, CallResult result) {
        lock.lock();
        try {
            long now = time.nanos();
            TargetState target = targets.find(assignment.target().id());
            if (target != null && target.finish(assignment)) {
                outcomes.note(target, assignment, result, now);
            }
            return drain(now);
        } finally {
            lock.unlock();
        }
    }

    /** Returns the waiting calls that may go now, and those whose time is over. */
    public DispatchResult dispatch() {
        lock.lock();
        try {
            return drain(time.nanos());
        } finally {
            lock.unlock();
        }
    }

    /** Takes {@code call} out of the queue; returns false if it does not wait. */
    public boolean cancel(Call call) {
        lock.lock();
        try {
            return held.remove(call);
        } finally {
            lock.unlock();
        }
    }

    /** Returns the nanoseconds after which an unanswered call of {@code request} may be hedged; zero if unknown yet. */
    public long hedgeDelayNanos(RequestConfig request) {
        lock.lock();
        try {
            ClassBaseline baseline = baselines.of(request);
            return policy.hedgeDelayNanos(baseline.medianNanos(), baseline.hedgeDelayNanos());
        } finally {
            lock.unlock();
        }
    }

    /** Returns a second assignment for an idempotent call that is late at {@code first}, if budget and slots allow. */
    public Optional<Assignment> hedge(Assignment first) {
        return hedge(first, Set.of(first.target().id()));
    }

    /**
     * Returns another assignment for an idempotent call that is late at {@code first}, if budget and slots allow.
     *
     * @param tried targets that it has been sent to
     */
    public Optional<Assignment> hedge(Assignment first, Set<String> tried) {
        lock.lock();
        try {
            long now = time.nanos();
            Call call = first.call();
            boolean allowed = call.request().idempotent()
                    && policy.holdsCalls()
                    && held.size() == 0
                    && call.deadline().remainingNanos(now) > 0;
            if (!allowed) {
                return Optional.empty();
            }
            TargetState target = targets.pick(wanted(call, now, 0), tried);
            if (target == null || !hedges.tryTake()) {
                return Optional.empty();
            }
            return Optional.of(assign(call, target, now));
        } finally {
            lock.unlock();
        }
    }

    /** Returns the calls that wait for a slot. */
    public int waitingCalls() {
        lock.lock();
        try {
            return held.size();
        } finally {
            lock.unlock();
        }
    }

    /** Returns what is known of each target. */
    public ImmutableList<TargetView> targets() {
        lock.lock();
        try {
            return targets.views(time.nanos());
        } finally {
            lock.unlock();
        }
    }

    private Admission readmit(Call call, Set<String> failed, long now) {
        if (call.deadline().remainingNanos(now) <= 0) {
            return new Admission.Refused(ErrorKind.DEADLINE_BEFORE_SEND);
        }
        TargetState target = targets.pick(wanted(call, now, 0), failed);
        return target != null ? new Admission.Assigned(assign(call, target, now)) : hold(call, now);
    }

    private Admission hold(Call call, long now) {
        int weight = weightOf(call);
        double ahead = held.aheadOf(call.tenant(), weight);
        if (expectedWaitNanos(call, ahead, now) > call.deadline().remainingNanos(now)) {
            return new Admission.Refused(ErrorKind.OVERLOADED);
        }
        held.add(call, weight);
        return new Admission.Waiting();
    }

    /** Returns the time until an answer for a call with {@code ahead} calls before it, as the baseline has it. */
    private double expectedWaitNanos(Call call, double ahead, long now) {
        long baseline = baselineNanos(call.request());
        return baseline * (ahead / Math.max(1, targets.usableSlots(now)) + 1);
    }

    private DispatchResult drain(long now) {
        return held.drain(new HeldCalls.Judge() {
            @Override
            public boolean isTooLate(Call call) {
                return call.deadline().remainingNanos(now) < baselineNanos(call.request());
            }

            @Override
            public boolean missesGoal(Call call) {
                return !call.goal().equals(call.deadline())
                        && call.goal().remainingNanos(now) < baselineNanos(call.request());
            }

            @Override
            public int weightOf(Call call) {
                return Dispatcher.this.weightOf(call);
            }

            @Override
            public @Nullable Assignment tryAssign(Call call, int queued) {
                TargetState target = targets.pick(wanted(call, now, queued), Set.of());
                return target == null ? null : assign(call, target, now);
            }
        });
    }

    private int weightOf(Call call) {
        return configuration == null ? 1 : configuration.weightOf(call.tenant());
    }

    private Assignment assign(Call call, TargetState target, long now) {
        long usualNanos = baselineNanos(call.request());
        Assignment assignment = new Assignment(
                nextAssignmentId++,
                call,
                target.config(),
                now,
                target.expectedFactor(now, usualNanos),
                target.occupancy(now));
        target.start(assignment, usualNanos);
        return assignment;
    }

    private TargetPicker.Wanted wanted(Call call, long now, int queued) {
        return new TargetPicker.Wanted(now, call.goal(), baselineNanos(call.request()), queued);
    }

    private long baselineNanos(RequestConfig request) {
        return baselines.medianNanos(request);
    }

    /** Builds a {@link Dispatcher}. Not thread safe. */
    public static final class Builder {
        private @Nullable TimeSource time;
        private @Nullable RandomGenerator random;
        private TargetPolicy policy = new TargetPolicy.LateBinding();
        private ExtraCallBudget retries = ShareBudget.ofPercent(RETRY_PERCENT, RETRY_RESERVE);
        private ExtraCallBudget hedges = ShareBudget.ofPercent(HEDGE_PERCENT, HEDGE_RESERVE);

        private Builder() {}

        /** Sets the source of time. */
        public Builder time(TimeSource value) {
            time = value;
            return this;
        }

        /** Sets the source of randomness, which the dispatcher uses under its lock. */
        public Builder random(RandomGenerator value) {
            random = value;
            return this;
        }

        /** Sets how targets are chosen. */
        public Builder policy(TargetPolicy value) {
            policy = value;
            return this;
        }

        /** Sets one budget that retries and hedges share. */
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
