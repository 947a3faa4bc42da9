package io.anvilpick.config;

/** The outcome of an attempt to accept a configuration. */
public sealed interface AcceptResult {
    /** The configuration is stored as {@code version}. */
    record Accepted(long version) implements AcceptResult {}

    /** Another change was accepted first. {@code winner} is the head that is stored now. */
    record Stale(Head winner) implements AcceptResult {}

    /** The change breaks one of the {@link SuccessionRules}, as {@code reason} says. */
    record Refused(String reason) implements AcceptResult {}

    /** The platform did not report whether the write took effect. Retrying the same change is safe. */
    record Unknown(String reason) implements AcceptResult {}
}
