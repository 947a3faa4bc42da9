package io.anvilpick.routes;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * What the targets of a service bear while they are cold.
 *
 * @param warmUp time for which a target is cold after its start
 * @param requestsPerSecond requests a second that a cold target bears from all daemons together
 */
public record ColdStart(Duration warmUp, double requestsPerSecond) {
    public ColdStart {
        checkArgument(!warmUp.isNegative(), "warmUp must not be negative: %s", warmUp);
        checkArgument(
                requestsPerSecond > 0 && Double.isFinite(requestsPerSecond),
                "requestsPerSecond must be positive and finite: %s",
                requestsPerSecond);
    }
}
