package io.anvilpick.config;

/** How an attempt to accept a configuration ended. */
public sealed interface AcceptResult {
    /** The configuration is stored as {@code version}. */
    record Accepted(long version) implements AcceptResult {}

    /** Another change came first; {@code winner} is the head that is stored now. */
    record Stale(Head winner) implements AcceptResult {}

    /** The rules of the contract forbid it. */
    record Refused(String reason) implements AcceptResult {}

    /** The platform did not say whether the write landed; running the same change again is safe. */
    record Unknown(String reason) implements AcceptResult {}
}
