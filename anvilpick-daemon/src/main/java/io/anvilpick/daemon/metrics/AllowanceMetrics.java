package io.anvilpick.daemon.metrics;

import com.codahale.metrics.MetricRegistry;
import io.anvilpick.allowances.AllowanceCounts;

/** Counts decisions on requests of tenants in Dropwizard metrics. Thread safe. */
final class AllowanceMetrics implements AllowanceCounts {
    private static final String FAMILY = "allowance";

    private final MetricRegistry registry;
    private final NamedMetrics tenants;

    AllowanceMetrics(MetricRegistry registry, NamedMetrics tenants) {
        this.registry = registry;
        this.tenants = tenants;
    }

    @Override
    public void granted(String tenant) {
        count("granted", tenant);
    }

    @Override
    public void refused(String tenant) {
        count("refused", tenant);
    }

    @Override
    public void unanswered(String tenant) {
        count("unanswered", tenant);
    }

    @Override
    public void requested() {
        registry.counter("anvilpick_allowance_messages").inc();
    }

    private void count(String decision, String tenant) {
        tenants.counter(MetricRegistry.name(FAMILY, decision), tenant).inc();
    }
}
