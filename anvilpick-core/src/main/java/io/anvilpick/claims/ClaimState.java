package io.anvilpick.claims;

import java.util.Optional;

/** How far the call that holds a claim has come. */
public sealed interface ClaimState {
    /** The call may be running. */
    record Running() implements ClaimState {}

    /**
     * The call ran.
     *
     * @param answer its answer, where it is small enough to be kept
     */
    record Done(Optional<StoredAnswer> answer) implements ClaimState {}

    /** The call may have run and its end will not become known. */
    record OutcomeUnknown() implements ClaimState {}
}
