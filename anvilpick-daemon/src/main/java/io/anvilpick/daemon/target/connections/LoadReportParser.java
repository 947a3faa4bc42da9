package io.anvilpick.daemon.target.connections;

import com.google.common.base.Splitter;
import com.google.common.primitives.Longs;
import io.anvilpick.dispatch.LoadReport;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Parses the headers in which targets report their load and when they are warm. */
final class LoadReportParser {
    private static final Splitter COMMAS = Splitter.on(',').trimResults();
    private static final int MIN_FIELDS = 3;
    private static final int SLOWNESS_INDEX = 3;
    private static final double PERCENT = 100.0;

    /** A longer time would keep the target from its calls for what may be a mistake. */
    private static final Duration MAX_WARM_UP = Duration.ofDays(1);

    private LoadReportParser() {}

    /**
     * Returns the load report; empty if the header is absent (null) or malformed. A malformed header is no error. It only leaves
     * the target's load unknown. The third field, the slots, is ignored.
     *
     * @param value the load header
     * @param warmUpMillis the header with the milliseconds for which the target stays cold from now
     */
    static Optional<LoadReport> parse(@Nullable String value, @Nullable String warmUpMillis, TimeSource time) {
        if (value == null) {
            return Optional.empty();
        }
        List<String> fields = COMMAS.splitToList(value);
        if (fields.size() < MIN_FIELDS) {
            return Optional.empty();
        }
        try {
            double slowness =
                    fields.size() > SLOWNESS_INDEX ? Double.parseDouble(fields.get(SLOWNESS_INDEX)) / PERCENT : 1;
            return Optional.of(new LoadReport(
                    Integer.parseInt(fields.get(0)),
                    Integer.parseInt(fields.get(1)),
                    slowness,
                    warmAt(warmUpMillis, time)));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /** Returns the time from which the target is warm, at most {@link #MAX_WARM_UP} away; empty without a whole number. */
    private static Optional<Deadline> warmAt(@Nullable String millis, TimeSource time) {
        Long parsed = millis == null ? null : Longs.tryParse(millis.trim());
        if (parsed == null || parsed < 0) {
            return Optional.empty();
        }
        return Optional.of(Deadline.after(time, Duration.ofMillis(Math.min(parsed, MAX_WARM_UP.toMillis()))));
    }
}
