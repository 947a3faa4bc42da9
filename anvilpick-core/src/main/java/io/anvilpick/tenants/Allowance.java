package io.anvilpick.tenants;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The requests that a tenant may send to all daemons together.
 *
 * @param ratePerSecond requests a second
 * @param burst requests that may be sent at once after a time without requests
 */
public record Allowance(double ratePerSecond, double burst) {
    public Allowance {
        checkArgument(
                ratePerSecond > 0 && Double.isFinite(ratePerSecond),
                "ratePerSecond must be positive and finite: %s",
                ratePerSecond);
        checkArgument(burst >= 0 && Double.isFinite(burst), "burst must not be negative and must be finite: %s", burst);
    }
}
