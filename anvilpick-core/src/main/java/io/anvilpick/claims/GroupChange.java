package io.anvilpick.claims;

import com.google.common.collect.ImmutableList;

/** The change of replicas that a group requires. */
public sealed interface GroupChange {
    /** The group keeps its replicas. */
    record Keep() implements GroupChange {}

    /** The claims are collected from a majority of the old replicas and installed at {@code replicas}. */
    record Move(ImmutableList<String> replicas) implements GroupChange {}

    /**
     * The group starts a new epoch with the claims of the remaining replicas. So many replicas have stopped for good
     * that the old epoch can never grant a claim again. Keys created before the restart are no longer trusted.
     *
     * <p>A group without replicas starts its first epoch in this way, in which all keys are trusted.
     */
    record Restart(ImmutableList<String> replicas) implements GroupChange {}

    /**
     * The group stays as it is. Too few replicas answer to move the claims, but a majority of the group may still be
     * running and granting claims. Neither a move nor a restart is possible then.
     */
    record Wait() implements GroupChange {}
}
