package io.anvilpick.daemon.entry;

import com.google.common.collect.ImmutableSortedSet;
import io.anvilpick.dispatch.Dispatcher;
import io.anvilpick.dispatch.SpillVerdict;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;
import org.jboss.logging.Logger;

/**
 * Publishes which share of the calls of each service leaves the zone, as a metric and as one log line for each change. Not thread
 * safe; one loop calls it at the interval at which lines may be written.
 */
final class SpillReporter {
    private static final Logger LOG = Logger.getLogger(SpillReporter.class);

    /** Difference of the share, in percent, below which it counts as unchanged. */
    private static final int MIN_CHANGE_PERCENT = 5;

    private static final int PERCENT = 100;
    private static final String HOME = "home";

    private final Supplier<Map<String, Dispatcher>> dispatchers;
    private final Gauge gauge;
    private final Map<String, Line> reported = new HashMap<>();

    /** Receives the percentage of the calls of a service that leaves the zone for a reason; zero once it no longer holds. */
    @FunctionalInterface
    interface Gauge {
        void set(String service, String reason, int percent);
    }

    /** What a log line says of a service. */
    record Line(int percent, ImmutableSortedSet<String> zones, String reason) {
        static final Line AT_START = new Line(0, ImmutableSortedSet.of(), HOME);

        static Line of(SpillVerdict verdict) {
            return switch (verdict) {
                case SpillVerdict.Home ignored -> AT_START;
                case SpillVerdict.FarOnly far -> new Line(PERCENT, far.zones(), "no_near_target");
                case SpillVerdict.Spill some ->
                    new Line(
                            (int) Math.round(some.share() * PERCENT),
                            some.zones(),
                            some.reason().name().toLowerCase(Locale.ROOT));
            };
        }

        boolean differsFrom(Line other) {
            return !zones.equals(other.zones) || Math.abs(percent - other.percent) >= MIN_CHANGE_PERCENT;
        }

        String text(String service) {
            return "event=zone_spill service=%s share=%.2f zones=%s reason=%s"
                    .formatted(
                            service,
                            (double) percent / PERCENT,
                            zones.isEmpty() ? "none" : String.join(",", zones),
                            reason);
        }
    }

    SpillReporter(Supplier<Map<String, Dispatcher>> dispatchers, Gauge gauge) {
        this.dispatchers = dispatchers;
        this.gauge = gauge;
    }

    /** Logs and publishes what has changed since the last call. */
    void report() {
        Map<String, Dispatcher> current = dispatchers.get();
        reported.keySet().retainAll(current.keySet());
        current.forEach((service, dispatcher) -> report(service, Line.of(dispatcher.spill())));
    }

    private void report(String service, Line line) {
        Line last = reported.getOrDefault(service, Line.AT_START);
        if (!line.differsFrom(last)) {
            return;
        }
        reported.put(service, line);
        LOG.info(line.text(service));
        if (!last.reason().equals(line.reason()) && !last.reason().equals(HOME)) {
            gauge.set(service, last.reason(), 0);
        }
        if (!line.reason().equals(HOME)) {
            gauge.set(service, line.reason(), line.percent());
        }
    }
}
