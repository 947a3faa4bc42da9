package io.anvilpick.dispatch;

import com.google.common.collect.ImmutableList;
import io.anvilpick.config.ServiceConfig;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.limits.PacedBudget;
import io.anvilpick.time.TimeSource;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** The targets of one service, and which of them a call may go to. Guarded by the dispatcher's lock. */
final class TargetSet {
    /** Time of a target that a call to it counts as measuring where the target may still be failing. */
    private static final long TRIAL_COST_NANOS = 6_000_000;

    /** Expected factor below which nothing but fullness slows a target, as far as is known. */
    private static final double UNDISTURBED_FACTOR = 1.35;

    private static final int MOST_EJECTED_PERCENT = 50;
    private static final int PERCENT = 100;

    private final TargetPicker picker;
    private final TargetPolicy policy;
    private final PacedBudget measuring;
    private final FullCost fullCost = new FullCost();
    private Map<String, TargetState> targets = new LinkedHashMap<>();
    private Set<String> leavingAddresses = Set.of();
    private Map<String, TargetTraits> traits = Map.of();
    private @Nullable ServiceConfig service;
    private int daemons = 1;

    TargetSet(TargetPicker picker, TargetPolicy policy, TimeSource time) {
        this.picker = picker;
        this.policy = policy;
        this.measuring = PacedBudget.perMilleOfSlots(time, 0, 0);
    }

    boolean isEmpty() {
        return targets.isEmpty();
    }

    /** Puts the targets of {@code service} in force; what was learnt of those that stay is kept. */
    void configure(ServiceConfig changed, long now) {
        boolean first = service == null;
        int limit = callsPerTarget(changed);
        Map<String, TargetState> next = new LinkedHashMap<>();
        for (TargetConfig target : changed.targets()) {
            TargetState known = targets.get(target.id());
            boolean same = known != null && known.config().address().equals(target.address());
            next.put(target.id(), stateOf(target, same ? known : null, limit, first, now));
        }
        targets = next;
        service = changed;
        measuring.resize(changed.measuringPerMille(), (double) changed.slotsPerTarget() * next.size());
    }

    /** Puts the targets of {@code service} in force together with what they told of themselves, by id. */
    void configure(ServiceConfig changed, Map<String, TargetTraits> told, long now) {
        traits = Map.copyOf(told);
        configure(changed, now);
    }

    private TargetState stateOf(TargetConfig target, @Nullable TargetState known, int limit, boolean warm, long now) {
        TargetTraits told = traits.get(target.id());
        if (told != null) {
            TargetTraits bounded = new TargetTraits(Math.min(told.slots(), limit), told.warmAt());
            return known == null
                    ? new TargetState(target, bounded, now, fullCost)
                    : known.reconfigured(target, bounded, now);
        }
        return known == null ? new TargetState(target, limit, warm, now) : known.reconfigured(target, limit, now);
    }

    /** Notes how many daemons share the connections that a target takes. */
    void setDaemonCount(int count, long now) {
        if (count == daemons) {
            return;
        }
        daemons = count;
        if (service != null) {
            configure(service, now);
        }
    }

    /** A call in flight holds at most one connection, so a share of the connections bounds the calls. */
    private int callsPerTarget(ServiceConfig of) {
        return Math.min(of.slotsPerTarget(), Math.max(1, of.connectionsPerTarget() / daemons));
    }

    /** Notes which hosts or addresses the platform lists as leaving. */
    void setLeavingAddresses(Set<String> addresses) {
        leavingAddresses = Set.copyOf(addresses);
    }

    @Nullable
    TargetState find(String id) {
        return targets.get(id);
    }

    /** Learns from an answer to {@code assignment} how much longer calls take on a target that is nearly full. */
    void learn(TargetState target, Assignment assignment, double timesUsual) {
        boolean nearlyFull = target.isNearlyFull(assignment.occupancy());
        double expected = nearlyFull ? assignment.expectedFactor() / fullCost.factor() : assignment.expectedFactor();
        if (expected < UNDISTURBED_FACTOR) {
            fullCost.add(nearlyFull, timesUsual);
        }
    }

    /** Returns the calls that targets which serve may have in flight together. */
    int usableSlots(long now) {
        int slots = 0;
        for (TargetState target : targets.values()) {
            slots += target.mayServe(now) ? target.limit() : 0;
        }
        return slots;
    }

    ImmutableList<TargetView> views(long now) {
        ImmutableList.Builder<TargetView> views = ImmutableList.builder();
        for (TargetState target : targets.values()) {
            views.add(new TargetView(
                    target.config().id(),
                    target.inFlight(),
                    target.limit(),
                    target.score(now, 0),
                    target.mayServe(now)));
        }
        return views.build();
    }

    /**
     * Picks a target. One that failed is tried again by a real call, and only as often as the measuring budget allows;
     * where no other is left, all that failed serve all the same.
     */
    @Nullable
    TargetState pick(TargetPicker.Wanted wanted, Set<String> excluded) {
        long now = wanted.nowNanos();
        List<TargetState> serving = new ArrayList<>(targets.size());
        List<TargetState> failing = new ArrayList<>();
        TargetState trial = null;
        for (TargetState target : targets.values()) {
            if (excluded.contains(target.config().id()) || isLeaving(target, now)) {
                continue;
            }
            if (!target.isEjected()) {
                serving.add(target);
                continue;
            }
            failing.add(target);
            if (policy.triesWithCalls() && target.mayServe(now)) {
                trial = target;
            }
        }
        if (trial != null && measuring.trySpend(TRIAL_COST_NANOS)) {
            return trial;
        }
        return picker.pick(serving.isEmpty() ? failing : serving, wanted);
    }

    /** Returns targets that a call may go to and whose load should be known first, and one that failed and may be back. */
    ImmutableList<TargetConfig> targetsToProbe(TargetPicker.Wanted wanted, Set<String> excluded, int most) {
        List<TargetState> candidates = new ArrayList<>(targets.size());
        TargetState failed = null;
        for (TargetState target : targets.values()) {
            if (excluded.contains(target.config().id()) || isLeaving(target, wanted.nowNanos())) {
                continue;
            }
            if (!target.isEjected()) {
                candidates.add(target);
            } else if (target.mayServe(wanted.nowNanos())) {
                failed = target;
            }
        }
        ImmutableList<TargetConfig> promising = picker.targetsToProbe(candidates, wanted, most);
        if (failed == null || policy.triesWithCalls()) {
            return promising;
        }
        failed.onTrial(wanted.nowNanos());
        return ImmutableList.<TargetConfig>builder()
                .addAll(promising)
                .add(failed.config())
                .build();
    }

    private boolean isLeaving(TargetState target, long now) {
        return target.isLeaving(now)
                || leavingAddresses.contains(target.config().address())
                || leavingAddresses.contains(target.config().host());
    }

    /** Returns whether another doubtful target may be ejected, as far as the capacity that is left goes. */
    boolean mayEjectMore() {
        int ejected = 0;
        for (TargetState target : targets.values()) {
            ejected += target.isEjected() ? 1 : 0;
        }
        return (ejected + 1) * PERCENT <= targets.size() * MOST_EJECTED_PERCENT;
    }
}
