package io.anvilpick.error;

/** Whether a caller may send a failed call again. */
public enum Resend {
    /** Sending again is safe. */
    SAFE("safe"),
    /** Sending again is safe only with the same idempotency key, or if the call is idempotent. */
    SAME_KEY("same_key"),
    /** Sending again does not help. */
    NEVER("never");

    private final String token;

    Resend(String token) {
        this.token = token;
    }

    /** Returns the machine-readable form that callers receive. */
    public String token() {
        return token;
    }
}
