package io.anvilpick.claims;

/** A replica's reply to a claim. */
public sealed interface Vote {
    /** The replica has recorded the claim. */
    record Granted() implements Vote {}

    /** The replica has recorded a claim of another call, {@code holder}, on the key. */
    record Taken(Claim holder) implements Vote {}

    /** The replica does not vote in the epoch of the claim. The replica's own epoch is {@code epoch}. */
    record WrongEpoch(long epoch) implements Vote {}

    /** The replica sent no vote: it could not be reached, did not reply in time, or rejected the request. */
    record NoReply() implements Vote {}
}
