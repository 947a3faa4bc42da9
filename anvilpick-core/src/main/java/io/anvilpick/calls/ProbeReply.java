package io.anvilpick.calls;

import io.anvilpick.dispatch.LoadReport;

/** The result of probing a target for its load. */
public sealed interface ProbeReply {
    /** The target reported its load. */
    record Reported(LoadReport report) implements ProbeReply {}

    /** The target answered without a load report. */
    record NotReported() implements ProbeReply {}

    /** Another target answered at the address. */
    record OtherTarget() implements ProbeReply {}

    /** The target could not be reached or did not answer in time. */
    record NoAnswer() implements ProbeReply {}
}
