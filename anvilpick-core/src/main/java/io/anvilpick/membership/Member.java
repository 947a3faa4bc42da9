package io.anvilpick.membership;

/**
 * A daemon as it describes itself.
 *
 * @param instance unique to one run of the process; a daemon that restarts is another instance
 * @param callAddress where callers connect, host and port
 * @param peerAddress where other daemons connect, host and port
 * @param region region of the VM
 * @param zone availability zone of the VM
 * @param leaving whether the daemon is shutting down
 * @param beat rises while the daemon lives
 */
public record Member(
        String instance,
        String callAddress,
        String peerAddress,
        String region,
        String zone,
        boolean leaving,
        long beat) {
    /** Returns this member with another beat. */
    public Member withBeat(long next) {
        return new Member(instance, callAddress, peerAddress, region, zone, leaving, next);
    }

    /** Returns this member marked as leaving, which overrides any earlier word of it. */
    public Member asLeaving(long next) {
        return new Member(instance, callAddress, peerAddress, region, zone, true, next);
    }
}
