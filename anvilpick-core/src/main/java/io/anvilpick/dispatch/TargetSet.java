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
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongFunction;
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
    private final EvacuatedZones evacuatedZones = new EvacuatedZones();
    private final ColdTargets coldTargets = new ColdTargets();
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
        coldTargets.register(next, now);
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

    /** Sets the zones whose targets get neither calls nor probes. */
    void setEvacuatedZones(Set<String> zones, long now) {
        Set<String> returned = evacuatedZones.replace(zones);
        for (TargetState target : targets.values()) {
            if (returned.contains(target.config().zone())) {
                coldTargets.onZoneReturned(target, now);
            }
        }
    }

    /** Sets what may be sent to cold targets; empty if that is not limited. */
    void setColdTargetRules(Optional<ColdTargetRules> rules, long now) {
        coldTargets.setRules(rules, targets, now);
    }

    /** Records the load that a target reported in reply to a probe. */
    void recordLoadReport(TargetState target, LoadReport report, long now) {
        target.onProbe(now, report);
        report.warmAt().ifPresent(warmAt -> coldTargets.onReport(target, warmAt));
    }

    /** Records that a call was assigned to {@code target}. */
    void recordAssigned(TargetState target, long now) {
        coldTargets.onAssigned(target, now);
    }

    /** Returns whether all targets that are not leaving are in evacuated zones, and at least one is. */
    boolean isEvacuated(long now) {
        boolean evacuated = !evacuatedZones.isEmpty() && !hasTargetElsewhere(now);
        if (service != null) {
            evacuatedZones.recordRefusing(service.name(), evacuated);
        }
        return evacuated;
    }

    private boolean hasTargetElsewhere(long now) {
        boolean anyEvacuated = false;
        for (TargetState target : targets.values()) {
            if (evacuatedZones.contains(target.config())) {
                anyEvacuated = true;
            } else if (!isLeaving(target, now)) {
                return true;
            }
        }
        return !anyEvacuated;
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
            boolean serves = target.mayServe(now) && !isWithdrawn(target, now) && !coldTargets.isCold(target, now);
            slots += serves ? target.limit() : 0;
        }
        return new Room(slots, waitNanos(now));
    }

    /** Returns the nanoseconds until a target may be sent a call, because all of them rest; zero if one does not. */
    long restNanos(long now) {
        return announcements.isEmpty()
                ? 0
                : shortestWait(target -> restEnd(target, now).remainingNanos(now), now);
    }

    /** Returns the nanoseconds until this daemon may send a call to a target, because all of them rest or are cold. */
    long waitNanos(long now) {
        if (announcements.isEmpty() && coldTargets.isEmpty()) {
            return 0;
        }
        return shortestWait(
                target -> Math.max(restEnd(target, now).remainingNanos(now), coldTargets.waitNanos(target, now)), now);
    }

    private long shortestWait(ToLongFunction<TargetState> waitNanos, long now) {
        long shortest = Long.MAX_VALUE;
        for (TargetState target : targets.values()) {
            if (!isWithdrawn(target, now)) {
                shortest = Math.min(shortest, waitNanos.applyAsLong(target));
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
     * excluded nor unavailable are ejected, the choice is made among them. A cold target is picked only if no warm one has room.
     */
    @Nullable
    TargetState pick(TargetPicker.PickRequest request, Set<String> excluded) {
        long now = request.nowNanos();
        List<TargetState> serving = new ArrayList<>(targets.size());
        List<TargetState> cold = new ArrayList<>();
        List<TargetState> ejected = new ArrayList<>();
        boolean anyServing = false;
        TargetState trial = null;
        for (TargetState target : targets.values()) {
            if (excluded.contains(target.config().id()) || isUnavailable(target, now)) {
                continue;
            }
            anyServing |= !target.isEjected();
            if (!coldTargets.maySend(target, now)) {
                continue;
            }
            if (!target.isEjected()) {
                (coldTargets.isCold(target, now) ? cold : serving).add(target);
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
        TargetState picked = picker.pick(anyServing ? serving : ejected, request);
        return picked == null && !hasRoom(serving, now) ? picker.pick(cold, request) : picked;
    }

    private static boolean hasRoom(List<TargetState> candidates, long now) {
        for (TargetState target : candidates) {
            if (target.hasRoom(now)) {
                return true;
            }
        }
        return false;
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
            boolean mayReceive = !isUnavailable(target, now) && coldTargets.maySend(target, now);
            if (!excluded.contains(target.config().id()) && mayReceive && target.mayServe(now)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the targets to probe before a call is sent, plus an ejected target whose recovery is due for a test and a cold
     * target that may have become warm, if any.
     */
    ImmutableList<TargetConfig> targetsToProbe(TargetPicker.PickRequest request, Set<String> excluded, int maxTargets) {
        List<TargetState> candidates = new ArrayList<>(targets.size());
        long now = request.nowNanos();
        TargetState recovering = null;
        TargetState checked = null;
        for (TargetState target : targets.values()) {
            if (excluded.contains(target.config().id()) || isUnavailable(target, now)) {
                continue;
            }
            if (target.isEjected()) {
                recovering = target.mayServe(now) ? target : recovering;
            } else if (!coldTargets.isCold(target, now)) {
                candidates.add(target);
            } else if (coldTargets.isCheckDue(target, now)) {
                checked = target;
            }
        }
        if (excluded.isEmpty()) {
            spill.update(candidates, now);
        }
        ImmutableList.Builder<TargetConfig> probed = ImmutableList.builder();
        probed.addAll(picker.targetsToProbe(candidates, request, maxTargets));
        if (recovering != null && !policy.testsRecoveryWithCalls()) {
            recovering.onRecoveryProbe(now);
            probed.add(recovering.config());
        }
        if (checked != null && !policy.testsRecoveryWithCalls()) {
            coldTargets.onCheck(checked, now);
            probed.add(checked.config());
        }
        return probed.build();
    }

    /** Returns whether the target gets neither calls nor probes, whatever the state of the others. */
    private boolean isUnavailable(TargetState target, long now) {
        return isWithdrawn(target, now) || restEnd(target, now).remainingNanos(now) > 0;
    }

    private boolean isWithdrawn(TargetState target, long now) {
        return evacuatedZones.contains(target.config()) || isLeaving(target, now);
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
        int counted = 0;
        for (TargetState target : targets.values()) {
            if (evacuatedZones.contains(target.config())) {
                continue;
            }
            counted++;
            ejected += target.isEjected() ? 1 : 0;
        }
        return (ejected + 1) * PERCENT <= counted * MAX_EJECTED_PERCENT;
    }
}
