package io.anvilpick.daemon.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingWindowReservoir;
import com.google.common.collect.ImmutableSet;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SequencedMap;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;

/**
 * The metrics that are labelled with a name from the configuration, such as that of a route. Thread safe; guarded by one lock.
 *
 * <p>Bound: at most a fixed number of names have metrics of their own, in the order of their first use. The others share those of
 * {@link #OTHER}. Removal: the metrics of a name end when the configuration in force lacks it, or when another name needs its place
 * and it has not been used for {@link #IDLE_TIME}. Nothing has to survive the process.
 */
final class NamedMetrics {
    /** The label of all names without metrics of their own. */
    static final String OTHER = "other";

    /** Time without use after which a name loses its metrics to another one. */
    static final Duration IDLE_TIME = Duration.ofMinutes(5);

    /** Values that determine the quantiles of a histogram. A histogram of all values takes 20 times the memory. */
    private static final int WINDOW_VALUES = 256;

    private final ReentrantLock lock = new ReentrantLock();
    private final MetricRegistry registry;
    private final TimeSource time;
    private final int maxNames;

    /** The names with metrics of their own, the least recently used one first. */
    private final SequencedMap<String, Entry> entries = new LinkedHashMap<>();

    private ImmutableSet<String> configured = ImmutableSet.of();

    /** The keys of a name's metrics in the registry, and the time from which another name may take its place. */
    private record Entry(Set<String> keys, Deadline replaceableFrom) {}

    /**
     * Creates an empty set of metrics. Until the first call of {@link #retain}, all names count as not configured.
     *
     * @param maxNames maximum number of names with metrics of their own
     */
    NamedMetrics(MetricRegistry registry, TimeSource time, int maxNames) {
        this.registry = registry;
        this.time = time;
        this.maxNames = maxNames;
    }

    /** Sets the names that the configuration in force contains, and removes the metrics of all others. */
    void retain(ImmutableSet<String> names) {
        lock.lock();
        try {
            configured = names;
            entries.entrySet().removeIf(entry -> {
                boolean removed = !names.contains(entry.getKey());
                if (removed) {
                    unregister(entry.getValue());
                }
                return removed;
            });
        } finally {
            lock.unlock();
        }
    }

    /** Returns the counter {@code family} of {@code name}, with a further label. */
    Counter counter(String family, String name, String... labels) {
        return metric(name, label -> keyOf(family, label, labels), registry::counter);
    }

    /** Returns the histogram {@code family} of {@code name}, with a further label. Its quantiles are those of the latest values. */
    Histogram histogram(String family, String name, String... labels) {
        return metric(
                name,
                label -> keyOf(family, label, labels),
                key -> registry.histogram(key, () -> new Histogram(new SlidingWindowReservoir(WINDOW_VALUES))));
    }

    private static String keyOf(String family, String label, String... labels) {
        return MetricRegistry.name(MetricRegistry.name(family, label), labels);
    }

    /** Returns a metric, which may be no longer registered when the caller updates it. */
    private <M> M metric(String name, Function<String, String> keyOf, Function<String, M> register) {
        lock.lock();
        try {
            if (!mayHaveOwn(name)) {
                return register.apply(keyOf.apply(OTHER));
            }
            String key = keyOf.apply(name);
            Entry before = entries.remove(name);
            Set<String> keys = before == null ? new HashSet<>() : before.keys();
            keys.add(key);
            entries.putLast(name, new Entry(keys, Deadline.after(time, IDLE_TIME)));
            return register.apply(key);
        } finally {
            lock.unlock();
        }
    }

    /** Returns whether {@code name} has metrics of its own or there is a place for them, which is vacated if need be. */
    private boolean mayHaveOwn(String name) {
        if (!configured.contains(name)) {
            return false;
        }
        if (entries.containsKey(name) || entries.size() < maxNames) {
            return true;
        }
        Map.Entry<String, Entry> idlest = entries.firstEntry();
        if (!idlest.getValue().replaceableFrom().hasPassed(time)) {
            return false;
        }
        entries.remove(idlest.getKey());
        unregister(idlest.getValue());
        return true;
    }

    private void unregister(Entry entry) {
        entry.keys().forEach(registry::remove);
    }
}
