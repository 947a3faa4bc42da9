package io.anvilpick.daemon.target;

/** Tells an exchange that this daemon cancelled apart from one that failed. */
final class CancelledByDaemonException extends Exception {
    private static final long serialVersionUID = 1L;

    static final CancelledByDaemonException INSTANCE = new CancelledByDaemonException();

    private CancelledByDaemonException() {
        super("cancelled", null, false, false);
    }
}
