package io.anvilpick.dispatch;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import com.google.common.hash.Hashing;
import io.anvilpick.hash.Rendezvous;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides which share of a daemon's calls of one service leaves its availability zone, and to which targets. Guarded by the
 * dispatcher's lock.
 *
 * <p>Load pattern: 100 daemons in 3 zones, a few calls a second each, some 100 targets in a zone; demand that changes within seconds
 * and targets that are slow for moments. The share is the integral of the room that the zone lacks, so that it is steady while the
 * room suffices. Daemons of a zone see the same room, and thus reach nearly the same share without messages.
 */
final class ZoneSpill {
    /** Share of near targets with room below which the share of calls that leave grows. */
    private static final double LITTLE_ROOM = 0.2;

    /** Share of near targets with room above which the share of calls that leave shrinks. */
    private static final double ENOUGH_ROOM = 0.35;

    /** Share of far targets with room below which a zone gets no calls from others. */
    private static final double FAR_ROOM = 0.3;

    /**
     * Change of the share in a second for each unit of room that is lacking or superfluous. The room follows the share with a delay
     * of about a second (the reports' average, the calls in flight), which allows no faster change without oscillation.
     */
    private static final double CHANGE_PER_SECOND = 1.0;

    private static final double MAX_SHARE = 0.8;

    /** Share below which no calls leave. */
    private static final double MIN_SHARE = 0.02;

    private static final long STEP_NANOS = 100_000_000L;

    /** Interval after which steps do not count as consecutive. */
    private static final long MAX_STEP_NANOS = 500_000_000L;

    /** Number of far targets that a daemon uses for a share of its calls, unless they are full. New connections are expensive. */
    private static final int SPILL_TARGETS = 2;

    /** Number of far targets that a daemon uses for all of its calls, unless they are full. */
    private static final int FAR_ONLY_TARGETS = 4;

    /** Time for which the number of far targets in use is kept after the last time that it was too small. */
    private static final long KEEP_WIDE_NANOS = 10_000_000_000L;

    private static final double NANOS_PER_SECOND = 1e9;

    private final String zone;
    private final String daemon;
    private final boolean enabled;
    private final Map<String, ZoneRoom> rooms = new HashMap<>();
    private ImmutableList<TargetState> ranked = ImmutableList.of();
    private double integral;
    private long steppedAtNanos;
    private long rejectedAtNanos = Long.MIN_VALUE / 2;
    private long queuedAtNanos = Long.MIN_VALUE / 2;
    private int moreTargets;
    private long widenedAtNanos;
    private SpillVerdict verdict = new SpillVerdict.Home();

    ZoneSpill(String zone, String daemon) {
        this(zone, daemon, true);
    }

    private ZoneSpill(String zone, String daemon, boolean enabled) {
        this.zone = zone;
        this.daemon = daemon;
        this.enabled = enabled;
    }

    /** Returns an instance whose verdict is always {@link SpillVerdict.Home}. */
    static ZoneSpill disabled() {
        return new ZoneSpill("", "", false);
    }

    /** Sets the targets of the service. */
    void configure(Collection<TargetState> targets) {
        if (!enabled) {
            return;
        }
        List<TargetState> far =
                targets.stream().filter(target -> !isNear(target)).toList();
        ranked = Rendezvous.ranked(daemon, far, target -> target.config().id());
        rooms.keySet().retainAll(zonesOf(targets));
    }

    /** Returns whether {@code target} is in the daemon's zone. */
    boolean isNear(TargetState target) {
        return target.config().zone().equals(zone);
    }

    private static TreeSet<String> zonesOf(Collection<TargetState> targets) {
        TreeSet<String> zones = new TreeSet<>();
        targets.forEach(target -> zones.add(target.config().zone()));
        return zones;
    }

    /** Records the load that {@code target} reported. */
    void onReport(TargetState target, LoadReport report, long nowNanos) {
        roomOf(target).add(nowNanos, target.hasRoomBy(report));
    }

    /** Records that {@code target} rejected a call. */
    void onRejection(TargetState target, long nowNanos) {
        roomOf(target).add(nowNanos, false);
        if (isNear(target)) {
            rejectedAtNanos = nowNanos;
        }
    }

    /** Records that a call has to wait. */
    void onQueued(long nowNanos) {
        queuedAtNanos = nowNanos;
    }

    private ZoneRoom roomOf(TargetState target) {
        return rooms.computeIfAbsent(target.config().zone(), each -> new ZoneRoom());
    }

    private double room(String ofZone, long nowNanos) {
        ZoneRoom room = rooms.get(ofZone);
        return room == null ? 1 : room.at(nowNanos);
    }

    /** Returns the verdict of the last {@link #update}. */
    SpillVerdict verdict() {
        return verdict;
    }

    /** Brings the verdict up to date, given the targets that may get calls. */
    SpillVerdict update(List<TargetState> serving, long nowNanos) {
        if (!enabled || serving.isEmpty()) {
            return verdict;
        }
        boolean noneNear = serving.stream().noneMatch(this::isNear);
        if (noneNear != verdict instanceof SpillVerdict.FarOnly) {
            steppedAtNanos = nowNanos - STEP_NANOS;
        }
        long elapsed = nowNanos - steppedAtNanos;
        if (elapsed < STEP_NANOS) {
            return verdict;
        }
        steppedAtNanos = nowNanos;
        verdict = step(serving, noneNear, Math.min(elapsed, MAX_STEP_NANOS) / NANOS_PER_SECOND, nowNanos);
        if (nowNanos - widenedAtNanos > KEEP_WIDE_NANOS) {
            moreTargets = 0;
        }
        return verdict;
    }

    private SpillVerdict step(List<TargetState> serving, boolean noneNear, double seconds, long nowNanos) {
        TreeSet<String> zones = zonesOf(serving);
        zones.remove(zone);
        if (noneNear) {
            return zones.isEmpty()
                    ? new SpillVerdict.Home()
                    : new SpillVerdict.FarOnly(ImmutableSortedSet.copyOf(zones));
        }
        zones.removeIf(each -> room(each, nowNanos) < FAR_ROOM);
        double near = room(zone, nowNanos);
        double lacking = near < LITTLE_ROOM ? LITTLE_ROOM - near : near > ENOUGH_ROOM ? ENOUGH_ROOM - near : 0;
        integral = Math.clamp(integral + lacking * CHANGE_PER_SECOND * seconds, 0, MAX_SHARE);
        if (zones.isEmpty() || integral < MIN_SHARE) {
            return new SpillVerdict.Home();
        }
        return new SpillVerdict.Spill(integral, ImmutableSortedSet.copyOf(zones), reason(lacking, nowNanos));
    }

    private SpillVerdict.Reason reason(double lacking, long nowNanos) {
        if (lacking < 0) {
            return SpillVerdict.Reason.RECOVERING;
        }
        if (nowNanos - rejectedAtNanos < NANOS_PER_SECOND) {
            return SpillVerdict.Reason.REJECTIONS;
        }
        return nowNanos - queuedAtNanos < NANOS_PER_SECOND
                ? SpillVerdict.Reason.QUEUE
                : SpillVerdict.Reason.LITTLE_ROOM;
    }

    /** Returns whether the call {@code callId} is one of the {@code share} that leaves. */
    boolean leaves(long callId, double share) {
        long hash = Hashing.murmur3_128().hashLong(callId).asLong();
        return (hash >>> 11) * 0x1p-53 < share;
    }

    /**
     * Returns the far targets in use, of those in {@code serving}: the first by rendezvous hashing, so that daemons prefer
     * different targets and each keeps to few connections.
     */
    ImmutableList<TargetState> farTargets(List<TargetState> serving, Collection<String> zones) {
        Set<TargetState> usable = new HashSet<>(serving);
        return ranked.stream()
                .filter(target -> zones.contains(target.config().zone()) && usable.contains(target))
                .limit(moreTargets + (verdict instanceof SpillVerdict.FarOnly ? FAR_ONLY_TARGETS : SPILL_TARGETS))
                .collect(ImmutableList.toImmutableList());
    }

    /** Uses more far targets, because those in use have no room. */
    void widen(long nowNanos) {
        moreTargets = Math.min(ranked.size(), moreTargets + 1);
        widenedAtNanos = nowNanos;
    }
}
