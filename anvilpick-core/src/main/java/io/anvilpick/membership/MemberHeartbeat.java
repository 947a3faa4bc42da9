package io.anvilpick.membership;

/**
 * A sign of life of a member whose description is known elsewhere.
 *
 * @param instance the member's instance
 * @param beat the latest beat known of it
 */
public record MemberHeartbeat(String instance, long beat) {}
