package io.anvilpick.fleet;

import static com.google.common.base.Preconditions.checkArgument;

import io.anvilpick.config.TargetConfig;
import io.anvilpick.dispatch.TargetTraits;

/**
 * A target as it has registered itself.
 *
 * @param config its id, address and availability zone, and whether it is leaving
 * @param service the service whose calls it answers
 * @param traits its slots and when it is warm
 * @param bornMillis its start in milliseconds since the Unix epoch; a target that starts anew under its id is another one
 */
public record RegisteredTarget(TargetConfig config, String service, TargetTraits traits, long bornMillis) {
    public RegisteredTarget {
        checkArgument(!service.isEmpty(), "service of target %s must not be empty", config.id());
    }

    /** Returns the id, unique in the fleet. */
    public String id() {
        return config.id();
    }
}
