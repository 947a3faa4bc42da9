package io.anvilpick.entry;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * The budget that all daemons share for extra calls of a service. An extra call is any call of a request after its
 * first.
 *
 * @param ratio extra calls per request
 * @param allowance extra calls per window beyond the ratio
 * @param window duration over which both are counted
 */
public record SharedBudget(double ratio, double allowance, Duration window) {
    public SharedBudget {
        checkArgument(ratio >= 0, "ratio must not be negative: %s", ratio);
        checkArgument(allowance >= 0, "allowance must not be negative: %s", allowance);
        checkArgument(window.isPositive(), "window must be positive: %s", window);
    }
}
