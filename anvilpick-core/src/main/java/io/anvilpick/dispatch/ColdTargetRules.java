package io.anvilpick.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;

/**
 * What a daemon may send to the cold targets of a service.
 *
 * @param requestsPerSecond calls a second that it may send to each cold target that it owns
 * @param warmUp time for which a target is cold after its zone has returned from evacuation
 * @param owned ids of the targets that the daemon owns; it sends nothing to other cold ones
 */
public record ColdTargetRules(double requestsPerSecond, Duration warmUp, ImmutableSet<String> owned) {
    public ColdTargetRules {
        checkArgument(requestsPerSecond > 0, "requestsPerSecond must be positive: %s", requestsPerSecond);
        checkArgument(!warmUp.isNegative(), "warmUp must not be negative: %s", warmUp);
    }
}
