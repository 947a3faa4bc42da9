package io.anvilpick.error;

/** What is known about whether a call ran on a target. */
public enum Outcome {
    /** The call did not run: no byte of it reached a target, or the target said that it did not run it. */
    NOT_RUN("not_run"),
    /** The call may have run. */
    UNKNOWN("unknown"),
    /** The call ran. */
    RAN("ran");

    private final String token;

    Outcome(String token) {
        this.token = token;
    }

    /** Returns the machine-readable word sent to callers. */
    public String token() {
        return token;
    }
}
