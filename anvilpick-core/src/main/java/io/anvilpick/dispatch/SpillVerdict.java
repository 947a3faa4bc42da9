package io.anvilpick.dispatch;

import com.google.common.collect.ImmutableSortedSet;

/** Which of a daemon's calls of one service leave its availability zone, and why. */
public sealed interface SpillVerdict {
    /** No share is set. Each call is placed by its own estimates, which prefer the zone's own targets. */
    record Home() implements SpillVerdict {}

    /**
     * A share of the calls leaves, because too few of the zone's targets have room.
     *
     * @param share the share, above zero and below one
     * @param zones the zones to which they go
     * @param reason what the share follows from
     */
    record Spill(double share, ImmutableSortedSet<String> zones, Reason reason) implements SpillVerdict {}

    /**
     * All calls leave, because no target of the zone may be used.
     *
     * @param zones the zones to which they go
     */
    record FarOnly(ImmutableSortedSet<String> zones) implements SpillVerdict {}

    /** What a share follows from. */
    enum Reason {
        /** Few targets of the zone report room for one more call. */
        LITTLE_ROOM,
        /** Targets of the zone reject calls. */
        REJECTIONS,
        /** Calls wait in the daemon. */
        QUEUE,
        /** There is room again, and the share is being reduced. */
        RECOVERING
    }
}
