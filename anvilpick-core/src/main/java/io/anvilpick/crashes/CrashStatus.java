package io.anvilpick.crashes;

/** Whether a request may run, judged by the crashes of targets that ran it. */
public enum CrashStatus {
    /** There is no crash report for the request. */
    CLEAR,
    /**
     * A target crashed while it ran the request, perhaps for another reason. The crash guard decides whether the
     * request runs without restriction, or only once more and alone.
     */
    SUSPECT,
    /** Targets crashed repeatedly while they ran the request. It does not run until the reports expire or are cleared. */
    BLOCKED
}
