package io.anvilpick.claims;

import static com.google.common.base.Preconditions.checkArgument;

import io.anvilpick.hash.Rendezvous;

/**
 * What is claimed: an idempotency key within a service and tenant.
 *
 * @param service the service called
 * @param tenant customer on whose behalf it is called
 * @param key the idempotency key as sent by the caller
 */
public record ClaimKey(String service, String tenant, String key) {
    /** Returns the group of replicas that votes on this key. */
    public int groupOf(int groups) {
        checkArgument(groups > 0, "groups must be positive: %s", groups);
        return (int) Math.floorMod(Rendezvous.weight(service + "/" + tenant, key), (long) groups);
    }
}
