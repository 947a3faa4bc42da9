package io.anvilpick.dispatch;

import com.google.common.collect.ImmutableList;
import io.anvilpick.config.ServiceConfig;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.limits.PacedBudget;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** The targets of one service, and the choice of those eligible for a call. Guarded by the dispatcher's lock. */
final class TargetSet {
    /** Target time charged to the probe budget for each call that tests whether an ejected target has recovered. */
    private static final long TRIAL_COST_NANOS = 6_000_000;

    /** Expected slowdown below which there is no known cause of slowness other than the target being nearly full. */
    private static final double MAX_UNDISTURBED_SLOWDOWN = 1.35;

    private static final int MAX_EJECTED_PERCENT = 50;
    private static final int PERCENT = 100;

    private final ZonedPicker picker;
    private final TargetPolicy policy;
    private final PacedBudget probeBudget;
    private final ServiceEstimates estimates = ServiceEstimates.create();
    private final ZoneSpill spill;
    private final Announcements announcements = new Announcements();
    private Map<String, TargetState> targets = new LinkedHashMap<>();
    private Set<String> leavingAddresses = Set.of();
    private Map<String, TargetTraits> traits = Map.of();
    private @Nullable ServiceConfig service;
    private int daemons = 1;

    TargetSet(TargetPicker picker, TargetPolicy policy, TimeSource time, ZoneSpill spill) {
        this.spill = spill;
        this.picker = new ZonedPicker(picker, spill);
        this.policy = policy;
        this.probeBudget = PacedBudget.perMilleOfSlots(time, 0, 0);
    }

    boolean isEmpty() {
        return targets.isEmpty();
    }

    /** Applies the targets of {@code changed}. Targets whose address and start time are unchanged keep their state. */
    void configure(ServiceConfig changed, long now) {
        boolean first = service == null;
        int limit = callsPerTarget(changed);
        Map<String, TargetState> next = new LinkedHashMap<>();
        for (TargetConfig target : changed.targets()) {
            TargetState known = targets.get(target.id());
            boolean sameProcess = known != null && isSameProcess(known, target);
            next.put(target.id(), stateOf(target, sameProcess ? known : null, limit, first, now));
        }
        targets = next;
        spill.configure(next.values());
        announcements.retain(next.keySet(), now);
        service = changed;
        probeBudget.resize(changed.measuringPerMille(), (double) changed.slotsPerTarget() * next.size());
    }

    private boolean isSameProcess(TargetState known, TargetConfig target) {
        TargetTraits reported = traits.get(target.id());
        return known.config().address().equals(target.address())
                && (reported == null || reported.bornMillis() == known.bornMillis());
    }

    /** Applies the targets of {@code changed} together with their reported traits, by id. */
    void configure(ServiceConfig changed, Map<String, TargetTraits> reported, long now) {
        traits = Map.copyOf(reported);
        configure(changed, now);
    }

    private TargetState stateOf(
            TargetConfig target, @Nullable TargetState known, int limit, boolean skipSlowStart, long now) {
        TargetTraits reported = traits.get(target.id());
        if (reported != null) {
            TargetTraits bounded =
                    new TargetTraits(Math.min(reported.slots(), limit), reported.warmAt(), reported.bornMillis());
            return known == null
                    ? new TargetState(target, bounded, now, estimates)
                    : known.reconfigured(target, bounded, now);
        }
        return known == null
                ? new TargetState(target, limit, skipSlowStart, now, estimates)
                : known.reconfigured(target, limit, now);
    }

    /** Sets the number of daemons that share the connections of each target. */
    void setDaemonCount(int count, long now) {
        if (count == daemons) {
            return;
        }
        daemons = count;
        if (service != null) {
            configure(service, now);
        }
    }

    /**
     * Returns the maximum number of this daemon's calls in flight to a target. A call in flight holds at most one
     * connection, and the daemon's share of the target's connections therefore bounds its calls.
     */
    private int callsPerTarget(ServiceConfig config) {
        return Math.min(config.slotsPerTarget(), Math.max(1, config.connectionsPerTarget() / daemons));
    }

    /** Sets the hosts or addresses that the platform lists as leaving. */
    void setLeavingAddresses(Set<String> addresses) {
        leavingAddresses = Set.copyOf(addresses);
    }

    @Nullable
    TargetState find(String id) {
        return targets.get(id);
    }

    /**
     * Adds an answer to {@code assignment} to the estimate of the slowdown on nearly full targets, unless another cause
     * of slowness is known.
     */
    void recordNearFullSample(TargetState target, Assignment assignment, double slowdown) {
        boolean nearlyFull = target.isNearlyFull(assignment.occupancy());
        double expected = nearlyFull
                ? assignment.expectedSlowdown() / estimates.nearFullSlowdown().factor()
                : assignment.expectedSlowdown();
        if (expected < MAX_UNDISTURBED_SLOWDOWN) {
            estimates.nearFullSlowdown().add(nearlyFull, slowdown);
        }
    }

    /** Returns which calls leave the zone. */
    SpillVerdict spill(long now) {
        return spill.update(servingTargets(now), now);
    }

    private List<TargetState> servingTargets(long now) {
        return targets.values().stream()
                .filter(target -> !target.isEjected() && !isUnavailable(target, now))
                .toList();
    }

    /** Records what {@code target} has asked for. */
    void recordNotice(TargetState target, TargetNotice notice, long now) {
        switch (notice) {
            case TargetNotice.None ignored -> {}
            case TargetNotice.Replaced ignored -> target.onReplaced(now);
            case TargetNotice.Leaving ignored -> announcements.recordLeaving(target.config(), target.bornMillis(), now);
            case TargetNotice.Rest rest -> {
                announcements.recordRest(target.config(), target.bornMillis(), rest.until(), now);
                target.onRest();
            }
        }
    }

    /** Returns what the targets can take. */
    Room room(long now) {
        int slots = 0;
        for (TargetState target : targets.values()) {
            slots += target.mayServe(now) && !isLeaving(target, now) ? target.limit() : 0;
        }
        return new Room(slots, restNanos(now));
    }

    /** Returns the nanoseconds until a target may be sent a call, because all of them rest; zero if one does not. */
    long restNanos(long now) {
        if (announcements.isEmpty()) {
            return 0;
        }
        long shortest = Long.MAX_VALUE;
        for (TargetState target : targets.values()) {
            if (!isLeaving(target, now)) {
                shortest = Math.min(shortest, restEnd(target, now).remainingNanos(now));
            }
        }
        return shortest == Long.MAX_VALUE ? 0 : shortest;
    }

    private Deadline restEnd(TargetState target, long now) {
        return announcements.restEnd(target.config(), target.bornMillis(), now);
    }

    ImmutableList<TargetView> views(long now) {
        ImmutableList.Builder<TargetView> views = ImmutableList.builder();
        for (TargetState target : targets.values()) {
            views.add(new TargetView(
                    target.config().id(),
                    target.inFlight(),
                    target.limit(),
                    target.score(now, 0),
                    target.mayServe(now) && !isUnavailable(target, now)));
        }
        return views.build();
    }

    /**
     * Picks a target, or returns null if the call should wait. If the policy tests recovery with calls, an ejected
     * target receives a trial call, but only as often as the probe budget allows. If all targets that are neither
     * excluded nor unavailable are ejected, the choice is made among them.
     */
    @Nullable
    TargetState pick(TargetPicker.PickRequest request, Set<String> excluded) {
        long now = request.nowNanos();
        List<TargetState> serving = new ArrayList<>(targets.size());
        List<TargetState> ejected = new ArrayList<>();
        TargetState trial = null;
        for (TargetState target : targets.values()) {
            if (excluded.contains(target.config().id()) || isUnavailable(target, now)) {
                continue;
            }
            if (!target.isEjected()) {
                serving.add(target);
                continue;
            }
            ejected.add(target);
            if (policy.testsRecoveryWithCalls() && target.mayServe(now)) {
                trial = target;
            }
        }
        if (trial != null && probeBudget.trySpend(TRIAL_COST_NANOS)) {
            return trial;
        }
        if (excluded.isEmpty()) {
            spill.update(serving, now);
        }
        return picker.pick(serving.isEmpty() ? ejected : serving, request);
    }

    /**
     * Picks a target other than those that have {@code failed} a call, or one of them if no other serves. Returns null if the call
     * should wait.
     */
    @Nullable
    TargetState pickAgain(TargetPicker.PickRequest request, Set<String> failed) {
        return pick(request, servesBesides(failed, request.nowNanos()) ? failed : Set.of());
    }

    private boolean servesBesides(Set<String> excluded, long now) {
        for (TargetState target : targets.values()) {
            if (!excluded.contains(target.config().id()) && !isUnavailable(target, now) && target.mayServe(now)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the targets to probe before a call is sent, plus an ejected target whose recovery is due for a test, if
     * any.
     */
    ImmutableList<TargetConfig> targetsToProbe(TargetPicker.PickRequest request, Set<String> excluded, int maxTargets) {
        List<TargetState> candidates = new ArrayList<>(targets.size());
        TargetState recovering = null;
        for (TargetState target : targets.values()) {
            if (excluded.contains(target.config().id()) || isUnavailable(target, request.nowNanos())) {
                continue;
            }
            if (!target.isEjected()) {
                candidates.add(target);
            } else if (target.mayServe(request.nowNanos())) {
                recovering = target;
            }
        }
        if (excluded.isEmpty()) {
            spill.update(candidates, request.nowNanos());
        }
        ImmutableList<TargetConfig> promising = picker.targetsToProbe(candidates, request, maxTargets);
        if (recovering == null || policy.testsRecoveryWithCalls()) {
            return promising;
        }
        recovering.onRecoveryProbe(request.nowNanos());
        return ImmutableList.<TargetConfig>builder()
                .addAll(promising)
                .add(recovering.config())
                .build();
    }

    /** Returns whether the target gets neither calls nor probes, whatever the state of the others. */
    private boolean isUnavailable(TargetState target, long now) {
        return isLeaving(target, now) || restEnd(target, now).remainingNanos(now) > 0;
    }

    private boolean isLeaving(TargetState target, long now) {
        return target.isLeaving(now)
                || announcements.isLeaving(target.config(), target.bornMillis(), now)
                || leavingAddresses.contains(target.config().address())
                || leavingAddresses.contains(target.config().host());
    }

    /**
     * Returns whether one more target may be ejected on inconclusive failures without exceeding the maximum percentage.
     */
    boolean mayEjectMore() {
        int ejected = 0;
        for (TargetState target : targets.values()) {
            ejected += target.isEjected() ? 1 : 0;
        }
        return (ejected + 1) * PERCENT <= targets.size() * MAX_EJECTED_PERCENT;
    }
}
