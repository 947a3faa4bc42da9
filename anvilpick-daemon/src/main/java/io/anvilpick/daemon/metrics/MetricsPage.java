package io.anvilpick.daemon.metrics;

import com.codahale.metrics.MetricRegistry;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.dropwizard.samplebuilder.CustomMappingSampleBuilder;
import io.prometheus.client.dropwizard.samplebuilder.MapperConfig;
import io.prometheus.client.exporter.common.TextFormat;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.List;

/** Exports a metric registry in the Prometheus text format. Thread safe. */
final class MetricsPage {
    private final MetricRegistry registry;
    private final List<MapperConfig> labels;

    /** Creates a page on which {@code labels} maps metric names to names with labels. */
    MetricsPage(MetricRegistry registry, List<MapperConfig> labels) {
        this.registry = registry;
        this.labels = List.copyOf(labels);
    }

    /**
     * Returns the page. The exporter is created on each call. A daemon that is never scraped therefore never loads the
     * classes of the exporter.
     */
    String text() {
        CollectorRegistry collectors = new CollectorRegistry();
        collectors.register(new DropwizardExports(registry, new CustomMappingSampleBuilder(labels)));
        StringWriter out = new StringWriter();
        try {
            TextFormat.write004(out, collectors.metricFamilySamples());
        } catch (IOException e) {
            throw new UncheckedIOException("metrics could not be written to a string", e);
        }
        return out.toString();
    }
}
