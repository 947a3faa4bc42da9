package io.anvilpick.load;

import com.google.common.collect.ImmutableList;
import java.nio.file.Path;

/**
 * What a benchmark runs.
 *
 * @param fleets the fleets compared; one of them is called oracle, one anvilpick
 * @param targets addresses of the targets
 * @param slots slots of each target
 * @param meanMillis mean time of a call
 * @param seconds length of one measurement
 * @param seeds number of seeds
 * @param scenarios the scenarios
 * @param out folder for table and plot
 */
record BenchSettings(
        ImmutableList<Fleet> fleets,
        ImmutableList<String> targets,
        int slots,
        double meanMillis,
        int seconds,
        int seeds,
        ImmutableList<Scenario> scenarios,
        Path out) {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Returns the calls a second that keep all slots busy. */
    double capacityPerSecond() {
        return targets.size() * slots * MILLIS_PER_SECOND / meanMillis;
    }
}
