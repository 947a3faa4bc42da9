package io.anvilpick.fleet;

/**
 * A daemon that accepts callers, as it registers itself in the store.
 *
 * @param name name of its VM
 * @param callAddress where callers connect, host and port
 * @param peerAddress where other daemons connect, host and port
 * @param region region of its VM
 * @param zone availability zone of its VM
 * @param registeredMillis Unix time of the first registration under this name and these addresses, in milliseconds; 0 if unknown
 */
public record EntryMember(
        String name, String callAddress, String peerAddress, String region, String zone, long registeredMillis) {
    /** Creates a member whose time of registration is unknown. */
    public EntryMember(String name, String callAddress, String peerAddress, String region, String zone) {
        this(name, callAddress, peerAddress, region, zone, 0);
    }

    /** Returns this member with another time of registration, in milliseconds since the Unix epoch. */
    public EntryMember registeredAt(long millis) {
        return new EntryMember(name, callAddress, peerAddress, region, zone, millis);
    }

    /** Returns whether {@code other} has the same name and addresses. */
    public boolean isSameDaemon(EntryMember other) {
        return name.equals(other.name)
                && callAddress.equals(other.callAddress)
                && peerAddress.equals(other.peerAddress);
    }
}
