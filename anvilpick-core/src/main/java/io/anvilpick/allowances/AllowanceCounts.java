package io.anvilpick.allowances;

/** A listener that counts decisions on requests of tenants. Implementations are thread safe and do not block. */
public interface AllowanceCounts {
    /** Called when a request of {@code tenant} is within the allowance. */
    void granted(String tenant);

    /** Called when a request of {@code tenant} exceeds the allowance. */
    void refused(String tenant);

    /** Called when no grantor has answered and the reserve is used up. */
    void unanswered(String tenant);

    /** Called when a message to another daemon requests tokens. */
    void requested();
}
