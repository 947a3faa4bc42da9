package io.anvilpick.fleet;

import static com.google.common.base.Preconditions.checkArgument;

import io.anvilpick.config.TargetConfig;
import io.anvilpick.dispatch.TargetTraits;

/**
 * A target, as it registers itself in the store.
 *
 * @param config its id, address and availability zone, and whether it is leaving
 * @param service the service that it serves
 * @param traits its slots, the end of its warm-up and its start time
 */
public record RegisteredTarget(TargetConfig config, String service, TargetTraits traits) {
    public RegisteredTarget {
        checkArgument(!service.isEmpty(), "service of target %s must not be empty", config.id());
    }

    /** Returns the id, which is unique in the fleet. */
    public String id() {
        return config.id();
    }
}
