package io.anvilpick.routes;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limits on the requests of callers.
 *
 * @param maxBodyBytes maximum size of a body in bytes
 */
public record RequestLimits(long maxBodyBytes) {
    public RequestLimits {
        checkArgument(maxBodyBytes >= 0, "maxBodyBytes must not be negative: %s", maxBodyBytes);
    }
}
