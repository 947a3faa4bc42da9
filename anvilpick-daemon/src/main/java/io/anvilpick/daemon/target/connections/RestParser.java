package io.anvilpick.daemon.target.connections;

import com.google.common.primitives.Doubles;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Parses the header by which a target that is full states for how many seconds it wants rest. */
final class RestParser {
    /** A longer rest would take the target out of use for what may be a mistake. */
    private static final Duration MAX_REST = Duration.ofSeconds(60);

    private static final double NANOS_PER_SECOND = 1e9;

    private RestParser() {}

    /**
     * Returns the end of the rest that begins now, at most {@link #MAX_REST} away; empty without a positive number of seconds. Of
     * several values the longest counts.
     */
    static Optional<Deadline> parse(List<String> values, TimeSource time) {
        double longest = 0;
        for (String value : values) {
            Double seconds = Doubles.tryParse(value.trim());
            if (seconds != null && seconds > longest) {
                longest = seconds;
            }
        }
        if (longest == 0) {
            return Optional.empty();
        }
        long nanos = (long) Math.min(longest * NANOS_PER_SECOND, MAX_REST.toNanos());
        return Optional.of(Deadline.after(time, Duration.ofNanos(nanos)));
    }
}
