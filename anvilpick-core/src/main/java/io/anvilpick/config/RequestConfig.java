package io.anvilpick.config;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A class of requests to a service, defined by method and path prefix.
 *
 * @param name name that is unique within the service and identifies the histogram of the class
 * @param method HTTP method
 * @param pathPrefix prefix of the path
 * @param idempotent whether executing a request twice is harmless
 * @param keyRequired whether callers must send an idempotency key; only for non-idempotent requests
 * @param timeoutMillis milliseconds after which a caller no longer needs the answer
 * @param priority calls with a smaller number are dispatched first when calls wait
 */
public record RequestConfig(
        String name,
        String method,
        String pathPrefix,
        boolean idempotent,
        boolean keyRequired,
        long timeoutMillis,
        int priority) {
    public RequestConfig {
        checkArgument(!name.isEmpty(), "name must not be empty");
        checkArgument(pathPrefix.startsWith("/"), "pathPrefix must start with a slash: %s", pathPrefix);
        checkArgument(timeoutMillis > 0, "timeoutMillis must be positive: %s", timeoutMillis);
        checkArgument(!(idempotent && keyRequired), "an idempotent request must not require a key: %s", name);
    }

    /** Returns whether a request of {@code otherMethod} and {@code path} belongs to this class. */
    public boolean matches(String otherMethod, String path) {
        return method.equals(otherMethod) && path.startsWith(pathPrefix);
    }
}
