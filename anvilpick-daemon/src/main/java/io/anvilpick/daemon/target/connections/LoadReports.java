package io.anvilpick.daemon.target.connections;

import com.google.common.base.Splitter;
import io.anvilpick.dispatch.LoadReport;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Reads what targets report of their load. */
final class LoadReports {
    private static final Splitter COMMAS = Splitter.on(',').trimResults();
    private static final int LEAST_FIGURES = 3;
    private static final int SLOWNESS_INDEX = 3;
    private static final double PERCENT = 100.0;

    private LoadReports() {}

    /** Returns the report; empty if there is none or it cannot be read, which only leaves the target's load unknown. */
    static Optional<LoadReport> parse(@Nullable String value) {
        if (value == null) {
            return Optional.empty();
        }
        List<String> figures = COMMAS.splitToList(value);
        if (figures.size() < LEAST_FIGURES) {
            return Optional.empty();
        }
        try {
            double slowness =
                    figures.size() > SLOWNESS_INDEX ? Double.parseDouble(figures.get(SLOWNESS_INDEX)) / PERCENT : 1;
            return Optional.of(
                    new LoadReport(Integer.parseInt(figures.get(0)), Integer.parseInt(figures.get(1)), slowness));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
