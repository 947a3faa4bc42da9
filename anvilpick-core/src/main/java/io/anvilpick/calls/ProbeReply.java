package io.anvilpick.calls;

import io.anvilpick.dispatch.LoadReport;

/** What came of asking a target for its load. */
public sealed interface ProbeReply {
    /** The target told. */
    record Reported(LoadReport report) implements ProbeReply {}

    /** The target answered and did not tell. */
    record NotReported() implements ProbeReply {}

    /** Another target has the address. */
    record OtherTarget() implements ProbeReply {}

    /** The target could not be reached, or did not answer in time. */
    record NoAnswer() implements ProbeReply {}
}
