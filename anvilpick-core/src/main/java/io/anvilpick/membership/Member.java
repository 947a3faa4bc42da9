package io.anvilpick.membership;

/**
 * A daemon's description of itself.
 *
 * @param instance ID of one run of the process; a daemon that restarts gets a new one
 * @param callAddress host and port to which callers connect
 * @param peerAddress host and port to which other daemons connect
 * @param region region of the VM
 * @param zone availability zone of the VM
 * @param leaving whether the daemon is shutting down
 * @param beat heartbeat counter, which increases while the daemon runs
 */
public record Member(
        String instance,
        String callAddress,
        String peerAddress,
        String region,
        String zone,
        boolean leaving,
        long beat) {
    /** Returns a copy of this member with the heartbeat counter {@code next}. */
    public Member withBeat(long next) {
        return new Member(instance, callAddress, peerAddress, region, zone, leaving, next);
    }

    /**
     * Returns a copy of this member that is leaving, with the heartbeat counter {@code next}.
     *
     * <p>It replaces earlier descriptions of the member if {@code next} is greater than their counters.
     */
    public Member asLeaving(long next) {
        return new Member(instance, callAddress, peerAddress, region, zone, true, next);
    }
}
