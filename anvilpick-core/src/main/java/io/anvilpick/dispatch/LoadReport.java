package io.anvilpick.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What a target says of its load in an answer.
 *
 * @param running calls it works on
 * @param waiting calls that wait in it
 * @param slowness how long work takes on its machine at that moment; one as usual, larger if slower
 */
public record LoadReport(int running, int waiting, double slowness) {
    private static final double USUAL_SLOWNESS = 1.0;

    public LoadReport {
        checkArgument(running >= 0, "running must not be negative: %s", running);
        checkArgument(waiting >= 0, "waiting must not be negative: %s", waiting);
        checkArgument(slowness > 0, "slowness must be positive: %s", slowness);
    }

    /** Returns the report of a target that tells only how many calls it has. */
    public static LoadReport ofInFlight(int inFlight) {
        return new LoadReport(inFlight, 0, USUAL_SLOWNESS);
    }

    /** Returns the calls that the target has. */
    public int inFlight() {
        return running + waiting;
    }
}
