package io.anvilpick.fleet;

/**
 * A daemon that accepts callers, as it registers itself in the store.
 *
 * @param name name of its VM
 * @param callAddress where callers connect, host and port
 * @param peerAddress where other daemons connect, host and port
 * @param region region of its VM
 * @param zone availability zone of its VM
 */
public record EntryMember(String name, String callAddress, String peerAddress, String region, String zone) {}
