package io.anvilpick.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

import io.anvilpick.time.Deadline;
import java.util.Optional;

/**
 * The load that a target reports in an answer or in reply to a probe.
 *
 * @param running the number of calls that the target works on
 * @param waiting the number of calls queued in the target
 * @param slowness the present duration of work on its VM as a multiple of the usual duration; one as usual, larger if
 *     slower
 * @param warmAt the time from which the target is warm, which may be now; empty if it did not state one
 */
public record LoadReport(int running, int waiting, double slowness, Optional<Deadline> warmAt) {
    private static final double NORMAL_SLOWNESS = 1.0;

    public LoadReport {
        checkArgument(running >= 0, "running must not be negative: %s", running);
        checkArgument(waiting >= 0, "waiting must not be negative: %s", waiting);
        checkArgument(slowness > 0, "slowness must be positive: %s", slowness);
    }

    /** Creates the report of a target that did not state when it is warm. */
    public LoadReport(int running, int waiting, double slowness) {
        this(running, waiting, slowness, Optional.empty());
    }

    /** Returns the report of a target that reports only its number of calls; its slowness counts as normal. */
    public static LoadReport ofInFlight(int inFlight) {
        return new LoadReport(inFlight, 0, NORMAL_SLOWNESS);
    }

    /** Returns the number of calls at the target, running and queued. */
    public int inFlight() {
        return running + waiting;
    }
}
