package io.anvilpick.daemon.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableSet;
import io.anvilpick.allowances.AllowanceCounts;
import io.anvilpick.entry.EntryCounts;
import io.anvilpick.error.ErrorKind;
import io.anvilpick.fleet.UnreadableCounts;
import io.anvilpick.routes.Route;
import io.anvilpick.routes.RouteConfiguration;
import io.anvilpick.tenants.Tenant;
import io.anvilpick.time.TimeSource;
import io.prometheus.client.dropwizard.samplebuilder.MapperConfig;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Records requests by route in Dropwizard metrics. Thread safe.
 *
 * <p>The names of routes, services and tenants come from the configuration, see {@link #retain}. Their number on the page is
 * bounded, as each takes several kilobytes of the heap.
 */
public final class EntryMetrics implements EntryCounts {
    /** Routes with metrics of their own. With histograms for three classes of status they take 3 MB of the heap. */
    static final int MAX_ROUTES = 500;

    static final int MAX_SERVICES = 500;
    static final int MAX_TENANTS = 100;

    private final MetricRegistry registry = new MetricRegistry();
    private final NamedMetrics routes;
    private final NamedMetrics services;
    private final NamedMetrics tenants;
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

    /** Creates metrics without any route, service or tenant. */
    public EntryMetrics(TimeSource time) {
        this.routes = new NamedMetrics(registry, time, MAX_ROUTES);
        this.services = new NamedMetrics(registry, time, MAX_SERVICES);
        this.tenants = new NamedMetrics(registry, time, MAX_TENANTS);
        routes.retain(ImmutableSet.of(NO_ROUTE));
    }

    /** Removes the metrics of routes, services and tenants that {@code inForce} lacks. Those that it contains get theirs when used. */
    public void retain(RouteConfiguration inForce) {
        ImmutableSet.Builder<String> routeNames = ImmutableSet.<String>builder().add(NO_ROUTE);
        inForce.routes().all().stream().map(Route::name).forEach(routeNames::add);
        routes.retain(routeNames.build());
        services.retain(inForce.services().keySet());
        tenants.retain(inForce.tenants().all().stream().map(Tenant::name).collect(ImmutableSet.toImmutableSet()));
    }

    @Override
    public void answered(String route, int status, long nanos) {
        routes.histogram("latency", route, statusClass(status)).update(TimeUnit.NANOSECONDS.toMicros(nanos));
    }

    @Override
    public void failed(String route, ErrorKind kind) {
        routes.counter("failed", route, kind.name().toLowerCase(Locale.ROOT)).inc();
    }

    @Override
    public void abandoned(String route) {
        routes.counter("abandoned", route).inc();
    }

    @Override
    public void retried(String service) {
        services.counter("retries", service).inc();
    }

    @Override
    public void hedged(String service) {
        services.counter("hedges", service).inc();
    }

    /** Returns the counts of decisions on requests of tenants. */
    public AllowanceCounts allowanceCounts() {
        return new AllowanceMetrics(registry, tenants);
    }

    /** Counts an error in the background loop {@code name}. */
    public void loopFault(String name) {
        registry.counter(MetricRegistry.name("loopFaults", name)).inc();
    }

    /** Sets the percentage of the calls of {@code service} that leaves the zone for {@code reason}. */
    public void zoneSpill(String service, String reason, int percent) {
        Counter counter = services.counter("zoneSpill", service, reason);
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
