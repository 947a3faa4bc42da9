package io.anvilpick.claims;

/**
 * A daemon that can become a replica of a claim group.
 *
 * @param instance instance ID of the daemon
 * @param zone availability zone of the daemon
 */
public record ReplicaCandidate(String instance, String zone) {}
