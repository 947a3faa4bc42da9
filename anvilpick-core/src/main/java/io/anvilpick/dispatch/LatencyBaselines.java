package io.anvilpick.dispatch;

import io.anvilpick.config.RequestConfig;
import java.util.HashMap;
import java.util.Map;

/** The latency baselines of the request classes of one service, by class name. Not thread safe. */
final class LatencyBaselines {
    private final Map<String, LatencyBaseline> byRequest = new HashMap<>();

    /** Returns the baseline of {@code request}, which has no samples before the first answer. */
    LatencyBaseline of(RequestConfig request) {
        return byRequest.computeIfAbsent(request.name(), name -> new LatencyBaseline());
    }

    /** Returns the median latency of {@code request} in nanoseconds, or zero before the first answer. */
    long medianNanos(RequestConfig request) {
        return of(request).medianNanos();
    }
}
