package io.anvilpick.daemon.target;

/** The cause of an aborted exchange that this daemon cancelled, as opposed to one that failed. */
final class CancelledByDaemonException extends Exception {
    private static final long serialVersionUID = 1L;

    static final CancelledByDaemonException INSTANCE = new CancelledByDaemonException();

    private CancelledByDaemonException() {
        super("cancelled", null, false, false);
    }
}
