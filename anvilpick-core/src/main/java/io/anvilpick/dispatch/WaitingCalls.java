package io.anvilpick.dispatch;

import com.google.common.collect.ImmutableList;
import io.anvilpick.error.ErrorKind;
import io.anvilpick.time.Deadline;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * The calls of one service that wait for a slot: which of them may wait, and which goes next. Guarded by the dispatcher's lock.
 *
 * <p>Load pattern: a burst of 2.4 times one request class for 5 s, seen by each of several daemons that share the targets.
 */
final class WaitingCalls {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(50);
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(2);

    /** Part of the time left until the deadline after which a refused caller returns at the latest. */
    private static final double MAX_RETRY_SHARE = 1.0 / 3;

    /** Random factors of the time after which refused callers return, so that they do not all return at once. */
    private static final double LOWEST_SPREAD = 0.5;

    private static final double HIGHEST_SPREAD = 1.5;

    private final CallOrder order;
    private final CallQueue queue;
    private final TenantShares shares = new TenantShares();
    private final DrainRate drainRate = new DrainRate();
    private final LatencyBaselines baselines;
    private final AdmissionLimits limits;
    private final RandomGenerator random;
    private boolean hasTenants;

    /**
     * What keeps all targets from being sent a call.
     *
     * @param refusal why all calls are refused; empty if they are not
     * @param waitNanos the nanoseconds until a target may be sent a call
     */
    record Hindrance(Optional<ErrorKind> refusal, long waitNanos) {}

    /** The choice of targets for waiting calls. */
    interface Placement {
        /** Returns the weight of the call's tenant. */
        int weightOf(Call call);

        /** Returns whether a target has room for the call, which the targets with the ids {@code failed} have failed. */
        boolean hasRoomFor(Call call, Set<String> failed);

        /** Assigns the call to a target; see {@link CallQueue.DrainPolicy#tryAssign}. */
        @Nullable
        Assignment tryAssign(Call call, int queued, Set<String> failed);
    }

    WaitingCalls(CallOrder order, LatencyBaselines baselines, RandomGenerator random) {
        this.order = order;
        this.queue = new CallQueue(order);
        this.baselines = baselines;
        this.limits = new AdmissionLimits(baselines);
        this.random = random;
    }

    /** Sets whether calls have tenants. */
    void setHasTenants(boolean value) {
        hasTenants = value;
    }

    int size() {
        return queue.size();
    }

    /** Counts a call that asks to be sent, now or from the queue. */
    void onAsked(Call call, long now) {
        if (tellsTenantsApart()) {
            shares.onAsked(call, now);
        }
    }

    /** Counts a call that was sent without waiting. */
    void onSent(Call call, long now) {
        if (tellsTenantsApart()) {
            shares.onSent(call, now);
        }
    }

    /** Returns why {@code call} is not to be sent at once; empty if it may be sent. */
    Optional<ErrorKind> refusalToSend(Call call, long now) {
        return limits.refusalToSend(call, now);
    }

    /**
     * Adds a call, or refuses it.
     *
     * @param failed the ids of the targets that have failed the call
     * @param restNanos the nanoseconds until a target wants calls again
     * @param shared whether other daemons send calls to the same targets
     */
    Admission add(
            Call call, Set<String> failed, Placement placement, Room room, long restNanos, boolean shared, long now) {
        drainRate.observe(queue.size() > 0, now);
        int weight = placement.weightOf(call);
        Optional<ErrorKind> refusal = refusalToWait(call, weight, room, shared, now)
                .filter(kind -> !tellsTenantsApart() || !placement.hasRoomFor(call, failed));
        if (refusal.isPresent()) {
            // Only a rest that the targets have asked for delays the caller's return. Another daemon may own a cold
            // target.
            Room resting = new Room(room.slots(), restNanos);
            return new Admission.Refused(refusal.get(), limits.retryAfter(call, resting, now));
        }
        queue.add(call, weight, failed);
        return new Admission.Waiting();
    }

    private Optional<ErrorKind> refusalToWait(Call call, int weight, Room room, boolean shared, long now) {
        double ahead = callsAhead(call, weight, now);
        OptionalDouble rate = drainRate.upperPerSecond(now);
        if (!tellsTenantsApart() || !shared || rate.isEmpty()) {
            return limits.refusalToWait(call, ahead, room, now);
        }
        double waitNanos = drainNanos(ahead, rate.getAsDouble());
        long medianNanos = baselines.medianNanos(call.request());
        return limits.refusalAfter(call, Math.max(waitNanos, room.restNanos()) + medianNanos, now);
    }

    /** Returns the estimated number of calls ahead. A tenant that starves is served out of turn. */
    private double callsAhead(Call call, int weight, long now) {
        if (isByUrgency() && !hasTenants) {
            return queue.sizeInTime();
        }
        double ahead = queue.callsAhead(call, weight);
        if (!tellsTenantsApart() || !shares.isStarving(call.tenant(), now)) {
            return ahead;
        }
        long starving = queue.tenants().stream()
                .filter(tenant -> shares.isStarving(tenant, now))
                .count();
        return Math.min(ahead, (double) TenantShares.DISPATCHES_PER_TURN * (starving + 1));
    }

    /**
     * Returns when the caller of a refused {@code call} should return, from the rate at which the queue drains; empty if the rate is
     * not known, or if the caller could not be answered in time any more when it returns. Telling such callers to return soon would only
     * add to the load.
     */
    Optional<Duration> retryAfter(Call call, int weight, long now) {
        OptionalDouble rate = tellsTenantsApart() ? drainRate.perSecond(now) : OptionalDouble.empty();
        double leftOnReturn = call.deadline().remainingNanos(now) * (1 - MAX_RETRY_SHARE);
        if (rate.isEmpty() || leftOnReturn < baselines.medianNanos(call.request())) {
            return Optional.empty();
        }
        double drainNanos = drainNanos(queue.callsAhead(call, weight) + 1, rate.getAsDouble());
        double latest = Math.min(MAX_RETRY_AFTER.toNanos(), call.deadline().remainingNanos(now) * MAX_RETRY_SHARE);
        double high = Math.min(drainNanos * HIGHEST_SPREAD, latest);
        double low = Math.max(MIN_RETRY_AFTER.toNanos(), Math.min(drainNanos, high) * LOWEST_SPREAD);
        return Optional.of(Duration.ofNanos((long) (low + random.nextDouble() * Math.max(0, high - low))));
    }

    /** Removes and returns the calls that can be assigned now and those that can no longer be answered in time. */
    DispatchResult drain(Placement placement, Hindrance hindrance, long now) {
        drainRate.observe(queue.size() > 0, now);
        return queue.drain(new CallQueue.DrainPolicy() {
            @Override
            public Optional<ErrorKind> refusalOf(Call call) {
                return refusalOfWaiting(call, hindrance, now);
            }

            @Override
            public boolean willMissGoal(Call call) {
                return !call.goal().equals(call.deadline())
                        && call.goal().remainingNanos(now) < baselines.medianNanos(call.request());
            }

            @Override
            public Optional<String> tenantOutOfTurn(Supplier<Set<String>> waiting) {
                return tellsTenantsApart() ? shares.tenantOutOfTurn(waiting, now) : Optional.empty();
            }

            @Override
            public int weightOf(Call call) {
                return placement.weightOf(call);
            }

            @Override
            public @Nullable Assignment tryAssign(Call call, int queued, Set<String> failed) {
                Assignment assignment = placement.tryAssign(call, queued, failed);
                if (assignment != null && tellsTenantsApart()) {
                    drainRate.onDispatched(now);
                    shares.onDispatched(call, now);
                }
                return assignment;
            }
        });
    }

    /** Sets the time after which the daemon delivers no more answers, and removes and returns the calls that wait in vain. */
    DispatchResult stopBy(Deadline end, Room room, long now) {
        limits.stopBy(end);
        return new DispatchResult(
                ImmutableList.of(), queue.refuse((call, ahead) -> limits.refusalToWait(call, ahead, room, now)));
    }

    /** Removes {@code call} and returns the reason if it can no longer be answered in time. */
    Optional<ErrorKind> withdrawIfLate(Call call, Hindrance hindrance, long now) {
        return refusalOfWaiting(call, hindrance, now).filter(kind -> remove(call, now));
    }

    private Optional<ErrorKind> refusalOfWaiting(Call call, Hindrance hindrance, long now) {
        return hindrance.refusal().or(() -> limits.refusalOfWaiting(call, hindrance.waitNanos(), now));
    }

    /** Removes {@code call}; returns false if it does not wait. */
    boolean remove(Call call, long now) {
        drainRate.observe(queue.size() > 0, now);
        return queue.remove(call);
    }

    private boolean tellsTenantsApart() {
        return isByUrgency() && hasTenants;
    }

    private boolean isByUrgency() {
        return order instanceof CallOrder.UrgencyFirst;
    }

    private static double drainNanos(double calls, double perSecond) {
        return calls / perSecond * NANOS_PER_SECOND;
    }
}
