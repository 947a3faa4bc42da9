package io.anvilpick.daemon.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import io.anvilpick.allowances.AllowanceCounts;
import io.anvilpick.entry.EntryCounts;
import io.anvilpick.error.ErrorKind;
import io.anvilpick.fleet.UnreadableCounts;
import io.prometheus.client.dropwizard.samplebuilder.MapperConfig;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.mpierce.metrics.reservoir.hdrhistogram.HdrHistogramReservoir;

/** Records requests by route in Dropwizard metrics. Thread safe. */
public final class EntryMetrics implements EntryCounts {
    private final MetricRegistry registry = new MetricRegistry();
    private final MetricsPage page = new MetricsPage(
            registry,
            List.of(
                    new MapperConfig(
                            "latency.*.*", "anvilpick_request_microseconds", Map.of("route", "${0}", "status", "${1}")),
                    new MapperConfig(
                            "failed.*.*", "anvilpick_requests_failed", Map.of("route", "${0}", "kind", "${1}")),
                    new MapperConfig("abandoned.*", "anvilpick_requests_abandoned", Map.of("route", "${0}")),
                    new MapperConfig("retries.*", "anvilpick_retries", Map.of("service", "${0}")),
                    new MapperConfig("hedges.*", "anvilpick_hedges", Map.of("service", "${0}")),
                    new MapperConfig("loopFaults.*", "anvilpick_loop_faults", Map.of("loop", "${0}")),
                    new MapperConfig("allowance.granted.*", "anvilpick_allowance_granted", Map.of("tenant", "${0}")),
                    new MapperConfig("allowance.refused.*", "anvilpick_allowance_refused", Map.of("tenant", "${0}")),
                    new MapperConfig(
                            "allowance.unanswered.*", "anvilpick_allowance_unanswered", Map.of("tenant", "${0}")),
                    new MapperConfig(
                            "zoneSpill.*.*",
                            "anvilpick_zone_spill_percent",
                            Map.of("service", "${0}", "reason", "${1}")),
                    new MapperConfig("unreadable.*", "anvilpick_unreadable_entries", Map.of("kind", "${0}"))));

    @Override
    public void answered(String route, int status, long nanos) {
        Histogram histogram = registry.histogram(
                MetricRegistry.name("latency", route, statusClass(status)),
                () -> new Histogram(new HdrHistogramReservoir()));
        histogram.update(TimeUnit.NANOSECONDS.toMicros(nanos));
    }

    @Override
    public void failed(String route, ErrorKind kind) {
        registry.counter(MetricRegistry.name("failed", route, kind.name().toLowerCase(Locale.ROOT)))
                .inc();
    }

    @Override
    public void abandoned(String route) {
        registry.counter(MetricRegistry.name("abandoned", route)).inc();
    }

    @Override
    public void retried(String service) {
        registry.counter(MetricRegistry.name("retries", service)).inc();
    }

    @Override
    public void hedged(String service) {
        registry.counter(MetricRegistry.name("hedges", service)).inc();
    }

    /** Returns the counts of decisions on requests of tenants. */
    public AllowanceCounts allowanceCounts() {
        return new AllowanceMetrics(registry);
    }

    /** Counts an error in the background loop {@code name}. */
    public void loopFault(String name) {
        registry.counter(MetricRegistry.name("loopFaults", name)).inc();
    }

    /** Sets the percentage of the calls of {@code service} that leaves the zone for {@code reason}. */
    public void zoneSpill(String service, String reason, int percent) {
        Counter counter = registry.counter(MetricRegistry.name("zoneSpill", service, reason));
        counter.inc(percent - counter.getCount());
    }

    /** Adds the counts of reads of unreadable entries, by kind. */
    public void unreadableEntries(Supplier<UnreadableCounts> counts) {
        gauge("unreadable.configuration", () -> counts.get().configurations());
        gauge("unreadable.target", () -> counts.get().targets());
        gauge("unreadable.member", () -> counts.get().members());
        gauge("unreadable.other", () -> counts.get().others());
    }

    /** Adds a gauge {@code name} whose value is supplied by {@code value}. */
    public void gauge(String name, Supplier<Number> value) {
        registry.registerGauge(name, value::get);
    }

    /** Returns every metric in the Prometheus text format. */
    public String scrape() {
        return page.text();
    }

    private static String statusClass(int status) {
        return status / 100 + "xx";
    }
}
