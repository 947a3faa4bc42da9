package io.anvilpick.calls;

import io.anvilpick.dispatch.LoadReport;
import io.anvilpick.dispatch.TargetNotice;

/** The result of probing a target for its load. */
public sealed interface ProbeReply {
    /** The answer asks for something, such as rest, whatever load it reports. */
    record Noticed(TargetNotice notice) implements ProbeReply {}

    /** The target reported its load. */
    record Reported(LoadReport report) implements ProbeReply {}

    /** The target answered without a load report. */
    record NotReported() implements ProbeReply {}

    /** The target could not be reached or did not answer in time. */
    record NoAnswer() implements ProbeReply {}
}
