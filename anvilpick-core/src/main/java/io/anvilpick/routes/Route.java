package io.anvilpick.routes;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import io.anvilpick.config.RequestConfig;

/**
 * Requests to one host under one path prefix, and what is to become of them.
 *
 * @param name unique in the configuration
 * @param host host that callers name, in lower case
 * @param prefix begins and ends with a slash
 * @param retrySafety what protects a request from running twice
 * @param timeoutMillis milliseconds after which a request ends in any case
 * @param goalMillis milliseconds within which it should be answered
 * @param priority requests of a smaller number go first when requests wait
 * @param attempts targets that one request may be sent to
 * @param backends the services that answer, by weight
 */
public record Route(
        String name,
        String host,
        String prefix,
        RetrySafety retrySafety,
        long timeoutMillis,
        long goalMillis,
        int priority,
        int attempts,
        ImmutableList<Backend> backends) {
    private static final String ANY_METHOD = "*";

    public Route {
        checkArgument(!name.isEmpty(), "name must not be empty");
        checkArgument(!host.isEmpty(), "host of route %s must not be empty", name);
        checkArgument(
                prefix.startsWith("/") && prefix.endsWith("/"),
                "prefix of route %s must begin and end with a slash: %s",
                name,
                prefix);
        checkArgument(timeoutMillis > 0, "timeoutMillis of route %s must be positive: %s", name, timeoutMillis);
        checkArgument(goalMillis > 0, "goalMillis of route %s must be positive: %s", name, goalMillis);
        checkArgument(attempts > 0, "attempts of route %s must be positive: %s", name, attempts);
        double weights = backends.stream().mapToDouble(Backend::weight).sum();
        checkArgument(weights > 0, "weights of route %s must not all be zero", name);
    }

    /** Returns the class of requests that the dispatcher sees; measurements of its answers go by the route's name. */
    public RequestConfig requestClass() {
        boolean harmless =
                switch (retrySafety) {
                    case RetrySafety.Idempotent ignored -> true;
                    case RetrySafety.AtMostOncePerAttempt ignored -> false;
                };
        return new RequestConfig(name, ANY_METHOD, prefix, harmless, false, timeoutMillis, priority);
    }
}
