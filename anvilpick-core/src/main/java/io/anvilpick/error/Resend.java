package io.anvilpick.error;

/** Whether a caller may send a refused call again. */
public enum Resend {
    /** Sending again is safe. */
    SAFE("safe"),
    /** Sending again is safe only with the same idempotency key, or where the call is idempotent. */
    SAME_KEY("same_key"),
    /** Sending again does not help. */
    NEVER("never");

    private final String token;

    Resend(String token) {
        this.token = token;
    }

    /** Returns the machine-readable word sent to callers. */
    public String token() {
        return token;
    }
}
