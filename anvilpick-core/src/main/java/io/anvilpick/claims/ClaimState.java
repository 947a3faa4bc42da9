package io.anvilpick.claims;

import java.util.Optional;

/** Progress of the call that holds a claim. */
public sealed interface ClaimState {
    /** The call may be running. */
    record Running() implements ClaimState {}

    /**
     * The call ran.
     *
     * @param answer the answer to the call; empty if it was too large to be stored
     */
    record Done(Optional<StoredAnswer> answer) implements ClaimState {}

    /** The call may have run, but its outcome is unknown. */
    record OutcomeUnknown() implements ClaimState {}
}
