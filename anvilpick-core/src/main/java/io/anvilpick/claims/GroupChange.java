package io.anvilpick.claims;

import com.google.common.collect.ImmutableList;

/** What is to be done about a group whose replicas changed. */
public sealed interface GroupChange {
    /** The group keeps its replicas. */
    record Keep() implements GroupChange {}

    /** The claims are taken from a majority of the old replicas and handed to {@code replicas}. */
    record Move(ImmutableList<String> replicas) implements GroupChange {}

    /**
     * So many replicas are gone for good that the old epoch can never again grant a claim. The group starts anew with
     * what the rest hold, and keys made before are no longer trusted.
     */
    record Restart(ImmutableList<String> replicas) implements GroupChange {}

    /** Too few replicas answer to move the claims, yet they may still grant among themselves: nothing can be done. */
    record Wait() implements GroupChange {}
}
