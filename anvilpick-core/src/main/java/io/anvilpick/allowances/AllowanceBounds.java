package io.anvilpick.allowances;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * How far the requests of a tenant may exceed its allowance. In any window, at most {@code (rate * window + burst) * (1 + overshoot) +
 * slack} requests may run.
 *
 * @param window length of the window
 * @param overshoot the share by which the allowance may be exceeded
 * @param slack number of requests that may run in addition
 */
public record AllowanceBounds(Duration window, double overshoot, double slack) {
    /** The bounds of a deployment whose settings state none. */
    public static final AllowanceBounds DEFAULT = new AllowanceBounds(Duration.ofSeconds(5), 0.1, 20);

    public AllowanceBounds {
        checkArgument(window.isPositive(), "window must be positive: %s", window);
        checkArgument(overshoot >= 0, "overshoot must not be negative: %s", overshoot);
        checkArgument(slack >= 0, "slack must not be negative: %s", slack);
    }
}
