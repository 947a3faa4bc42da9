package io.anvilpick.membership;

/**
 * A heartbeat of a member without the member's description.
 *
 * @param instance instance ID of the member
 * @param beat latest heartbeat counter of the member
 */
public record MemberHeartbeat(String instance, long beat) {}
