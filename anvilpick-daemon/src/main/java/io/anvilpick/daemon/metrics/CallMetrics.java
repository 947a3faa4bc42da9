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
 * Counts calls in Dropwizard metrics and shows them in the text format of scrapers. Thread safe.
 *
 * <p>There is a histogram of microseconds for each service, class of requests and tenant. Tenants that the configuration
 * does not list share one, so that callers cannot make the daemon hold histograms without bound.
 */
public final class CallMetrics implements CallEvents {
    private static final String OTHER_TENANT = "other";

    private final MetricRegistry registry = new MetricRegistry();
    private final MetricsPage page;
    private final ActiveConfiguration activeConfiguration;

    /** Creates metrics whose tenants come from the configuration in force. */
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
                        new MapperConfig("hedges.*", "anvilpick_hedges", Map.of("service", "${0}"))));
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
        String known = isKnown(service) ? service : "unknown";
        registry.counter(MetricRegistry.name(
                        "refused", known, request, tenantOf(tenant), kind.name().toLowerCase(Locale.ROOT)))
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

    /** Adds a gauge called {@code name} that shows what {@code value} returns. */
    public void gauge(String name, Supplier<Number> value) {
        registry.registerGauge(name, value::get);
    }

    /** Returns every metric in the text format of scrapers. */
    public String scrape() {
        return page.text();
    }

    private String tenantOf(String tenant) {
        boolean listed = activeConfiguration
                .snapshot()
                .map(snapshot -> snapshot.configuration().tenants().stream()
                        .anyMatch(each -> each.name().equals(tenant)))
                .orElse(false);
        return listed ? tenant : OTHER_TENANT;
    }

    private boolean isKnown(String service) {
        return activeConfiguration
                .snapshot()
                .flatMap(snapshot -> snapshot.configuration().service(service))
                .isPresent();
    }
}
