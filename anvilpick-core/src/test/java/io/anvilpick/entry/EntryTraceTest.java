package io.anvilpick.entry;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.anvilpick.calls.TargetReply;
import io.anvilpick.config.RequestConfig;
import io.anvilpick.dispatch.Assignment;
import io.anvilpick.dispatch.Call;
import io.anvilpick.fleet.FleetSamples;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import org.junit.jupiter.api.Test;

class EntryTraceTest {
    private static final RequestConfig LOOKUP = new RequestConfig("lookup", "GET", "/", true, false, 2_000, 1);
    private static final Assignment SENT = new Assignment(
            1,
            new Call(1, "tenant", LOOKUP, new Deadline(0)),
            FleetSamples.target("i-1", "s", false).config(),
            0,
            1,
            0);

    private final ManualTimeSource time = ManualTimeSource.startingAt(0);
    private final EntryTrace trace = new EntryTrace(
            new EntryRequest(
                    "id-1",
                    "a.example",
                    "GET",
                    "/a/",
                    ImmutableList.of(),
                    new byte[0],
                    0,
                    Deadline.after(time, Duration.ofSeconds(4))),
            time);

    /** Guards against steps that end at the first blank of a reason when the log line is read. */
    @Test
    void reasonsOfStepsHaveNeitherBlanksNorSeparators() {
        trace.replied(SENT, new TargetReply.Lost("write failed: a, \"b\""));
        trace.replied(SENT, new TargetReply.Expired());
        String line = trace.describe();
        assertTrue(line.endsWith(" steps=0@lost(write_failed:_a___b_):i-1,0@not_sent(deadline_passed):i-1"), line);
    }
}
