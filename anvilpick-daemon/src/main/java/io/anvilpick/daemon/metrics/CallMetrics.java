package io.anvilpick.daemon.metrics;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import io.anvilpick.calls.CallEvents;
import io.anvilpick.config.ActiveConfiguration;
import io.anvilpick.error.ErrorKind;
import io.prometheus.client.dropwizard.samplebuilder.MapperConfig;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.mpierce.metrics.reservoir.hdrhistogram.HdrHistogramReservoir;

/**
 * Records calls in Dropwizard metrics and exports them in the Prometheus text format. Thread safe.
 *
 * <p>There is a latency histogram in microseconds for each service, request class and tenant. Tenants that are not in
 * the configuration share one. Otherwise callers could create an unbounded number of histograms.
 */
public final class CallMetrics implements CallEvents {
    private static final String OTHER_TENANT = "other";

    private final MetricRegistry registry = new MetricRegistry();
    private final MetricsPage page;
    private final ActiveConfiguration activeConfiguration;

    /** Creates metrics whose tenant labels come from the active configuration. */
    public CallMetrics(ActiveConfiguration activeConfiguration) {
        this.activeConfiguration = activeConfiguration;
        this.page = new MetricsPage(
                registry,
                List.of(
                        new MapperConfig(
                                "latency.*.*.*",
                                "anvilpick_call_microseconds",
                                Map.of("service", "${0}", "request", "${1}", "tenant", "${2}")),
                        new MapperConfig(
                                "refused.*.*.*.*",
                                "anvilpick_calls_refused",
                                Map.of("service", "${0}", "request", "${1}", "tenant", "${2}", "kind", "${3}")),
                        new MapperConfig("retries.*", "anvilpick_retries", Map.of("service", "${0}")),
                        new MapperConfig("hedges.*", "anvilpick_hedges", Map.of("service", "${0}")),
                        new MapperConfig("loopFaults.*", "anvilpick_loop_faults", Map.of("loop", "${0}"))));
    }

    @Override
    public void answered(String service, String request, String tenant, long nanos) {
        Histogram histogram = registry.histogram(
                MetricRegistry.name("latency", service, request, tenantOf(tenant)),
                () -> new Histogram(new HdrHistogramReservoir()));
        histogram.update(TimeUnit.NANOSECONDS.toMicros(nanos));
    }

    @Override
    public void refused(String service, String request, String tenant, ErrorKind kind) {
        String serviceLabel = isConfigured(service) ? service : "unknown";
        registry.counter(MetricRegistry.name(
                        "refused",
                        serviceLabel,
                        request,
                        tenantOf(tenant),
                        kind.name().toLowerCase(Locale.ROOT)))
                .inc();
    }

    @Override
    public void retried(String service) {
        registry.counter(MetricRegistry.name("retries", service)).inc();
    }

    @Override
    public void hedged(String service) {
        registry.counter(MetricRegistry.name("hedges", service)).inc();
    }

    /** Counts an error in the background loop {@code name}. */
    public void loopFault(String name) {
        registry.counter(MetricRegistry.name("loopFaults", name)).inc();
    }

    /** Adds a gauge {@code name} whose value is supplied by {@code value}. */
    public void gauge(String name, Supplier<Number> value) {
        registry.registerGauge(name, value::get);
    }

    /** Returns every metric in the Prometheus text format. */
    public String scrape() {
        return page.text();
    }

    private String tenantOf(String tenant) {
        boolean configured = activeConfiguration
                .snapshot()
                .map(snapshot -> snapshot.configuration().tenants().stream()
                        .anyMatch(config -> config.name().equals(tenant)))
                .orElse(false);
        return configured ? tenant : OTHER_TENANT;
    }

    private boolean isConfigured(String service) {
        return activeConfiguration
                .snapshot()
                .flatMap(snapshot -> snapshot.configuration().service(service))
                .isPresent();
    }
}
