package io.anvilpick.daemon.metrics;

import com.codahale.metrics.MetricRegistry;
import io.anvilpick.allowances.AllowanceCounts;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Counts decisions on requests of tenants in Dropwizard metrics. Thread safe. */
final class AllowanceMetrics implements AllowanceCounts {
    /** Tenants with metrics of their own. The others share one, because the metrics of 10,000 tenants fill the heap. */
    private static final int MAX_TENANTS = 100;

    private static final String OTHER_TENANTS = "other";

    private final MetricRegistry registry;
    private final Set<String> tenants = ConcurrentHashMap.newKeySet();

    AllowanceMetrics(MetricRegistry registry) {
        this.registry = registry;
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
        registry.counter(MetricRegistry.name("allowance", decision, labelOf(tenant)))
                .inc();
    }

    private String labelOf(String tenant) {
        if (tenants.contains(tenant)) {
            return tenant;
        }
        return tenants.size() < MAX_TENANTS && tenants.add(tenant) ? tenant : OTHER_TENANTS;
    }
}
