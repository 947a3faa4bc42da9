package io.anvilpick.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

import io.anvilpick.time.Deadline;

/**
 * The properties that a target states when it registers.
 *
 * @param slots the number of calls that it works on concurrently
 * @param warmAt the time from which it is as fast as the other targets
 */
public record TargetTraits(int slots, Deadline warmAt) {
    public TargetTraits {
        checkArgument(slots > 0, "slots must be positive: %s", slots);
    }
}
