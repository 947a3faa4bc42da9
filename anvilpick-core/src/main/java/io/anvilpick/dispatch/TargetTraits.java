package io.anvilpick.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

import io.anvilpick.time.Deadline;

/**
 * The properties that a target states when it registers.
 *
 * @param slots the number of calls that it works on concurrently
 * @param warmAt the time from which it is as fast as the other targets
 * @param bornMillis its start time in milliseconds since the Unix epoch, which distinguishes a restarted target from its
 *     predecessor of the same id; {@link #UNKNOWN_START} if it stated none
 */
public record TargetTraits(int slots, Deadline warmAt, long bornMillis) {
    /** The start time of a target that stated none. */
    public static final long UNKNOWN_START = 0;

    public TargetTraits {
        checkArgument(slots > 0, "slots must be positive: %s", slots);
    }

    /** Creates the traits of a target that stated no start time. */
    public TargetTraits(int slots, Deadline warmAt) {
        this(slots, warmAt, UNKNOWN_START);
    }
}
