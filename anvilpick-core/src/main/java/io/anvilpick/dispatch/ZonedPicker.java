package io.anvilpick.dispatch;

import com.google.common.collect.ImmutableList;
import io.anvilpick.config.TargetConfig;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Picks targets, and targets to probe, from those that {@link ZoneSpill} allows a call. While no calls leave the zone, the choice is
 * that of {@link TargetPicker}. Guarded by the dispatcher's lock.
 */
final class ZonedPicker {
    private final TargetPicker picker;
    private final ZoneSpill spill;

    ZonedPicker(TargetPicker picker, ZoneSpill spill) {
        this.picker = picker;
        this.spill = spill;
    }

    /** Returns the target for a call among those in {@code serving}, or null if the call should wait. */
    @Nullable
    TargetState pick(List<TargetState> serving, TargetPicker.PickRequest request) {
        return switch (spill.verdict()) {
            case SpillVerdict.Home ignored -> picker.pick(serving, request);
            case SpillVerdict.FarOnly far -> pickFar(serving, far, request);
            case SpillVerdict.Spill some -> pickWithSpill(serving, some, request);
        };
    }

    private @Nullable TargetState pickFar(
            List<TargetState> serving, SpillVerdict.FarOnly far, TargetPicker.PickRequest request) {
        ImmutableList<TargetState> inUse = spill.farTargets(serving, far.zones());
        TargetState kept = picker.pick(inUse, request);
        if (kept != null) {
            return kept;
        }
        widenIfFull(inUse, request.nowNanos());
        return picker.pick(serving, request);
    }

    private @Nullable TargetState pickWithSpill(
            List<TargetState> serving, SpillVerdict.Spill some, TargetPicker.PickRequest request) {
        ImmutableList<TargetState> far = spill.farTargets(serving, some.zones());
        if (spill.leaves(request.callId(), some.share())) {
            TargetState kept = picker.pickForSpill(nearOf(serving), far, request);
            if (kept != null) {
                return kept;
            }
            widenIfFull(far, request.nowNanos());
        }
        List<TargetState> allowed = nearAnd(far, serving);
        if (hasNoRoom(allowed, request.nowNanos())) {
            return picker.pick(serving, request);
        }
        return picker.pick(allowed, request);
    }

    /** Returns the targets to probe before a call is sent, of those in {@code serving}. */
    ImmutableList<TargetConfig> targetsToProbe(
            List<TargetState> serving, TargetPicker.PickRequest request, int maxTargets) {
        return switch (spill.verdict()) {
            case SpillVerdict.Home ignored -> picker.targetsToProbe(serving, request, maxTargets);
            case SpillVerdict.FarOnly far ->
                picker.targetsToProbe(spill.farTargets(serving, far.zones()), request, maxTargets);
            case SpillVerdict.Spill some -> targetsToProbeWithSpill(serving, some, request, maxTargets);
        };
    }

    private ImmutableList<TargetConfig> targetsToProbeWithSpill(
            List<TargetState> serving, SpillVerdict.Spill some, TargetPicker.PickRequest request, int maxTargets) {
        ImmutableList<TargetState> far = spill.farTargets(serving, some.zones());
        if (spill.leaves(request.callId(), some.share())) {
            if (far.stream().noneMatch(target -> target.mayHaveRoom(request.nowNanos()))) {
                spill.widen(request.nowNanos());
                far = spill.farTargets(serving, some.zones());
            }
            if (picker.hasFreshGood(far, request)) {
                return ImmutableList.of();
            }
            ImmutableList<TargetConfig> probes = picker.farTargetsToProbe(far, request);
            if (!probes.isEmpty()) {
                return probes;
            }
        }
        return picker.targetsToProbe(nearAnd(far, serving), request, maxTargets);
    }

    private void widenIfFull(ImmutableList<TargetState> far, long nowNanos) {
        if (hasNoRoom(far, nowNanos)) {
            spill.widen(nowNanos);
        }
    }

    private static boolean hasNoRoom(List<TargetState> targets, long nowNanos) {
        return targets.stream().noneMatch(target -> target.hasRoom(nowNanos));
    }

    private List<TargetState> nearOf(List<TargetState> serving) {
        return nearAnd(ImmutableList.of(), serving);
    }

    private List<TargetState> nearAnd(ImmutableList<TargetState> far, List<TargetState> serving) {
        List<TargetState> allowed = new ArrayList<>(serving.size());
        for (TargetState target : serving) {
            if (spill.isNear(target) || far.contains(target)) {
                allowed.add(target);
            }
        }
        return allowed;
    }
}
