package io.anvilpick.dispatch;

import io.anvilpick.config.RequestConfig;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The latency baselines of the request classes of one service, by class name. Not thread safe.
 *
 * <p>Bound: the classes that the configuration contains, and those of the calls that were under way when it changed. Removal: see
 * {@link #retain}. Nothing has to survive the process.
 */
final class LatencyBaselines {
    private final Map<String, LatencyBaseline> byRequest = new HashMap<>();

    /** Returns the baseline of {@code request}, which has no samples before the first answer. */
    LatencyBaseline of(RequestConfig request) {
        return byRequest.computeIfAbsent(request.name(), name -> new LatencyBaseline());
    }

    /** Removes the baselines of all other classes than {@code names}. */
    void retain(Set<String> names) {
        byRequest.keySet().retainAll(names);
    }

    /** Returns the median latency of {@code request} in nanoseconds, or zero before the first answer. */
    long medianNanos(RequestConfig request) {
        return of(request).medianNanos();
    }
}
