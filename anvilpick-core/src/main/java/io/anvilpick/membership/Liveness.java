package io.anvilpick.membership;

/** What is known of a member's life. */
public enum Liveness {
    /** Its heartbeat rises. */
    LIVE,
    /** It is live and shutting down. */
    LEAVING,
    /** Its heartbeat has not risen for a while. */
    SUSPECT,
    /** It certainly runs no more: another instance has its address, or nothing listens there. */
    GONE
}
