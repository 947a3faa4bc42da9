package io.anvilpick.routes;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import io.anvilpick.config.RequestConfig;
import io.anvilpick.tenants.Tenant;

/**
 * A rule for the requests to one host under one path prefix.
 *
 * @param name name, unique in the configuration
 * @param host host that callers request, in lower case
 * @param prefix path prefix, which begins and ends with a slash
 * @param retrySafety whether requests may run more than once
 * @param timeoutMillis milliseconds after which a request times out
 * @param goalMillis latency goal of a request in milliseconds
 * @param priority priority of waiting requests; lower numbers are dispatched first
 * @param attempts maximum number of targets that one request may be sent to
 * @param backends services that receive the requests, with their weights
 * @param publicAccess whether requests need no API key
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
        ImmutableList<Backend> backends,
        boolean publicAccess) {
    private static final String ANY_METHOD = "*";

    /** Number of priorities of routes that are told apart within one priority of tenants. */
    private static final int ROUTE_PRIORITIES = 1_000;

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

    /** Creates a route whose requests need an API key if the configuration has tenants. */
    public Route(
            String name,
            String host,
            String prefix,
            RetrySafety retrySafety,
            long timeoutMillis,
            long goalMillis,
            int priority,
            int attempts,
            ImmutableList<Backend> backends) {
        this(name, host, prefix, retrySafety, timeoutMillis, goalMillis, priority, attempts, backends, false);
    }

    /** Returns the request class for the dispatcher, which groups its measurements by the name of the route. */
    public RequestConfig requestClass() {
        return requestClass(priority);
    }

    /** Returns the request class of a tenant's requests. The tenant's priority goes before that of the route. */
    public RequestConfig requestClass(Tenant tenant) {
        return requestClass(tenant.priority() * ROUTE_PRIORITIES + Math.clamp(priority, 0, ROUTE_PRIORITIES - 1));
    }

    private RequestConfig requestClass(int combinedPriority) {
        boolean idempotent =
                switch (retrySafety) {
                    case RetrySafety.Idempotent ignored -> true;
                    case RetrySafety.AtMostOncePerAttempt ignored -> false;
                };
        return new RequestConfig(name, ANY_METHOD, prefix, idempotent, false, timeoutMillis, combinedPriority);
    }
}
