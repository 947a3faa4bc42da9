package io.anvilpick.membership;

/** Liveness of a member, as observed by this daemon. */
public enum Liveness {
    /** Its heartbeat counter increases. */
    LIVE,
    /** It is live and shutting down. */
    LEAVING,
    /** Its heartbeat counter has not increased for too long. */
    SUSPECT,
    /** It has certainly stopped: another instance uses its address, or no process listens there. */
    GONE
}
