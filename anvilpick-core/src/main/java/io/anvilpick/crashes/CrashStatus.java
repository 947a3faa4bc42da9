package io.anvilpick.crashes;

/** Whether a request may run, as far as crashes go. */
public enum CrashStatus {
    /** Nothing is known against the request. */
    CLEAR,
    /** A target crashed while it ran the request, perhaps by another's fault: it may run once more, alone. */
    SUSPECT,
    /** The request crashed targets again: it does not run until that is forgotten. */
    BLOCKED
}
