package io.anvilpick.dispatch;

import io.anvilpick.config.RequestConfig;
import java.util.HashMap;
import java.util.Map;

/** What answers of each class of requests of one service usually take. Not thread safe. */
final class Baselines {
    private final Map<String, ClassBaseline> byRequest = new HashMap<>();

    /** Returns the baseline of {@code request}, which is empty before its first answer. */
    ClassBaseline of(RequestConfig request) {
        return byRequest.computeIfAbsent(request.name(), name -> new ClassBaseline());
    }

    /** Returns the median in nanoseconds; zero before the first answer. */
    long medianNanos(RequestConfig request) {
        return of(request).medianNanos();
    }
}
