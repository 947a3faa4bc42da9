package io.anvilpick.claims;

/** A replica's answer to a claim. */
public sealed interface Vote {
    /** The replica has recorded the claim. */
    record Granted() implements Vote {}

    /** Another call holds the key at this replica. */
    record Taken(Claim holder) implements Vote {}

    /** The replica does not vote in the epoch that the claimant named; it stands at {@code epoch}. */
    record WrongEpoch(long epoch) implements Vote {}

    /** The replica could not be reached, or did not answer in time. */
    record NoReply() implements Vote {}
}
