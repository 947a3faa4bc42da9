package io.anvilpick.claims;

/**
 * A daemon that may hold claims.
 *
 * @param instance its instance
 * @param zone its availability zone
 */
public record ReplicaCandidate(String instance, String zone) {}
