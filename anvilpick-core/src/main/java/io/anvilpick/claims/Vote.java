package io.anvilpick.claims;

/** A replica's reply to a claim. */
public sealed interface Vote {
    /** The replica has recorded the claim. */
    record Granted() implements Vote {}

    /** The replica has recorded a claim of another call, {@code holder}, on the key. */
    record Taken(Claim holder) implements Vote {}

    /** The replica does not vote in the epoch of the claim. The replica's own epoch is {@code epoch}. */
    record WrongEpoch(long epoch) implements Vote {}

    /** The replica could not be reached, or did not reply in time. */
    record NoReply() implements Vote {}
}
