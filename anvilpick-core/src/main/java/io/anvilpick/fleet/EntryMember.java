package io.anvilpick.fleet;

/**
 * A daemon that takes callers, as it tells others.
 *
 * @param name name of its machine
 * @param callAddress where callers connect, host and port
 * @param peerAddress where other daemons connect, host and port
 * @param region region of its machine
 * @param zone availability zone of its machine
 */
public record EntryMember(String name, String callAddress, String peerAddress, String region, String zone) {}
