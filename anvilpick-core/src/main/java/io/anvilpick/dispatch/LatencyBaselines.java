package io.anvilpick.dispatch;

import io.anvilpick.config.RequestConfig;
import java.util.HashMap;
import java.util.Map;

/** What answers of each class of requests of one service usually take. Not thread safe. */
final class LatencyBaselines {
    private final Map<String, LatencyBaseline> byRequest = new HashMap<>();

    /** Returns the baseline of {@code request}, which is empty before its first answer. */
    LatencyBaseline of(RequestConfig request) {
        return byRequest.computeIfAbsent(request.name(), name -> new LatencyBaseline());
    }

    /** Returns the median in nanoseconds; zero before the first answer. */
    long medianNanos(RequestConfig request) {
        return of(request).medianNanos();
    }
}
