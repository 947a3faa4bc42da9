package io.anvilpick.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

import io.anvilpick.time.Deadline;

/**
 * What a target tells of itself when it registers.
 *
 * @param slots calls that it works on at a time
 * @param warmAt when it is as fast as its siblings
 */
public record TargetTraits(int slots, Deadline warmAt) {
    public TargetTraits {
        checkArgument(slots > 0, "slots must be positive: %s", slots);
    }
}
