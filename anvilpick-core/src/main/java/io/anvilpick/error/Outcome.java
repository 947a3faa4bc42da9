package io.anvilpick.error;

/** Whether a call ran on a target, as far as the daemon can determine. */
public enum Outcome {
    /** The call did not run: no byte of it reached a target, or the target reported that it did not run it. */
    NOT_RUN("not_run"),
    /** The call may have run. */
    UNKNOWN("unknown"),
    /** The call ran. */
    RAN("ran");

    private final String token;

    Outcome(String token) {
        this.token = token;
    }

    /** Returns the machine-readable form that callers receive. */
    public String token() {
        return token;
    }
}
