package io.anvilpick.daemon.target.connections;

import com.google.common.base.Splitter;
import io.anvilpick.dispatch.LoadReport;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Parses the load header of targets. */
final class LoadReportParser {
    private static final Splitter COMMAS = Splitter.on(',').trimResults();
    private static final int MIN_FIELDS = 3;
    private static final int SLOWNESS_INDEX = 3;
    private static final double PERCENT = 100.0;

    private LoadReportParser() {}

    /**
     * Returns the load report; empty if the header is absent (null) or malformed. A malformed header is no error. It only leaves
     * the target's load unknown. The third field, the slots, is ignored.
     */
    static Optional<LoadReport> parse(@Nullable String value) {
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
            return Optional.of(
                    new LoadReport(Integer.parseInt(fields.get(0)), Integer.parseInt(fields.get(1)), slowness));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
