package io.anvilpick.claims;

import static com.google.common.base.Preconditions.checkArgument;

import io.anvilpick.hash.Rendezvous;

/**
 * An idempotency key within a service and tenant. Calls claim such a key.
 *
 * @param service name of the called service
 * @param tenant tenant on whose behalf the service is called
 * @param key the idempotency key as sent by the caller
 */
public record ClaimKey(String service, String tenant, String key) {
    /** Returns the index of the group that votes on this key, among {@code groups} groups. */
    public int groupOf(int groups) {
        checkArgument(groups > 0, "groups must be positive: %s", groups);
        return (int) Math.floorMod(Rendezvous.weight(service + "/" + tenant, key), (long) groups);
    }
}
