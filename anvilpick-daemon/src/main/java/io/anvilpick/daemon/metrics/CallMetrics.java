package io.anvilpick.daemon.metrics;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import io.anvilpick.calls.CallEvents;
import io.anvilpick.config.InForce;
import io.anvilpick.error.ErrorKind;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.dropwizard.DropwizardExports;
import io.prometheus.metrics.instrumentation.dropwizard5.labels.CustomLabelMapper;
import io.prometheus.metrics.instrumentation.dropwizard5.labels.MapperConfig;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
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
    private final PrometheusRegistry scraped = new PrometheusRegistry();
    private final PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();
    private final InForce inForce;

    /** Creates metrics whose tenants come from the configuration in force. */
    public CallMetrics(InForce inForce) {
        this.inForce = inForce;
        DropwizardExports.builder()
                .dropwizardRegistry(registry)
                .customLabelMapper(new CustomLabelMapper(List.of(
                        new MapperConfig(
                                "latency.*.*.*",
                                "anvilpick_call_microseconds",
                                Map.of("service", "${0}", "request", "${1}", "tenant", "${2}")),
                        new MapperConfig(
                                "refused.*.*.*.*",
                                "anvilpick_calls_refused",
                                Map.of("service", "${0}", "request", "${1}", "tenant", "${2}", "kind", "${3}")),
                        new MapperConfig("retries.*", "anvilpick_retries", Map.of("service", "${0}")),
                        new MapperConfig("hedges.*", "anvilpick_hedges", Map.of("service", "${0}")))))
                .register(scraped);
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
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            writer.write(out, scraped.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toString(StandardCharsets.UTF_8);
    }

    private String tenantOf(String tenant) {
        boolean listed = inForce.snapshot()
                .map(snapshot -> snapshot.configuration().tenants().stream()
                        .anyMatch(each -> each.name().equals(tenant)))
                .orElse(false);
        return listed ? tenant : OTHER_TENANT;
    }

    private boolean isKnown(String service) {
        return inForce.snapshot()
                .flatMap(snapshot -> snapshot.configuration().service(service))
                .isPresent();
    }
}
