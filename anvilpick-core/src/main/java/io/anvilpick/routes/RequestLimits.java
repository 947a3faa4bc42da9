package io.anvilpick.routes;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What callers may send.
 *
 * @param maxBodyBytes most bytes of a body
 */
public record RequestLimits(long maxBodyBytes) {
    public RequestLimits {
        checkArgument(maxBodyBytes >= 0, "maxBodyBytes must not be negative: %s", maxBodyBytes);
    }
}
