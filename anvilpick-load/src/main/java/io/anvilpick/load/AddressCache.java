package io.anvilpick.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.collect.ImmutableList;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Queries daemons for the address to use for a service and caches the answer. An expired answer stays in use until a newer
 * one replaces it. Thread safe.
 */
final class AddressCache {
    private static final Duration QUERY_TIMEOUT = Duration.ofSeconds(1);
    private static final int NANOS_PER_MILLI = 1_000_000;
    private static final int MAX_ATTEMPTS = 6;

    private final WebClient client;
    private final ImmutableList<String> daemons;
    private final String zone;
    private final boolean direct;
    private final JsonMapper json = new JsonMapper();
    private final Map<String, CachedAddresses> cache = new ConcurrentHashMap<>();

    /**
     * Addresses from one answer of a daemon.
     *
     * @param addresses the address to use, followed by its fallbacks
     * @param expiresAtNanos time on the monotonic clock at which the answer expires
     * @param refreshing whether a query for a newer answer is in progress
     */
    private record CachedAddresses(ImmutableList<String> addresses, long expiresAtNanos, boolean refreshing) {}

    AddressCache(WebClient client, LoadSettings settings) {
        this.client = client;
        this.daemons = settings.daemons();
        this.zone = settings.zone();
        this.direct = settings.direct();
    }

    /**
     * Returns the address for {@code service}, followed by its fallbacks. Blocks until a first answer for the service is
     * cached. Later calls return the cached answer, and refresh it in the background once it has expired.
     *
     * <p>With {@code --direct}, returns a random daemon and queries none.
     *
     * @throws IllegalStateException if the first query gets no address from any daemon
     */
    List<String> addresses(String service) {
        if (direct) {
            return List.of(daemons.get(ThreadLocalRandom.current().nextInt(daemons.size())));
        }
        CachedAddresses cached = cache.get(service);
        if (cached == null) {
            return query(service).addresses();
        }
        if (System.nanoTime() - cached.expiresAtNanos() >= 0 && !cached.refreshing()) {
            cache.put(service, new CachedAddresses(cached.addresses(), cached.expiresAtNanos(), true));
            Thread.ofVirtual().start(() -> query(service));
        }
        return cached.addresses();
    }

    private CachedAddresses query(String service) {
        List<String> failures = new ArrayList<>();
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            String daemon = daemons.get(ThreadLocalRandom.current().nextInt(daemons.size()));
            try {
                CachedAddresses answer = queryDaemon(daemon, service);
                cache.put(service, answer);
                return answer;
            } catch (IllegalStateException e) {
                failures.add(e.getMessage());
            }
        }
        CachedAddresses previous = cache.get(service);
        if (previous == null) {
            throw new IllegalStateException("no daemon returned an address for " + service + ": " + failures);
        }
        cache.put(service, new CachedAddresses(previous.addresses(), System.nanoTime(), false));
        return previous;
    }

    private CachedAddresses queryDaemon(String daemon, String service) {
        String path = "http://" + daemon + "/anvilpick/v1/address?service=" + service + "&zone=" + zone;
        try {
            AggregatedHttpResponse answer = client.prepare()
                    .get(path)
                    .responseTimeout(QUERY_TIMEOUT)
                    .execute()
                    .aggregate()
                    .join();
            if (!answer.status().equals(HttpStatus.OK)) {
                throw new IllegalStateException(daemon + " answered " + answer.status());
            }
            JsonNode body = json.readTree(answer.contentUtf8());
            ImmutableList.Builder<String> addresses = ImmutableList.builder();
            addresses.add(body.path("address").asText());
            body.path("fallbacks").forEach(fallback -> addresses.add(fallback.asText()));
            long validForNanos = body.path("goodForMillis").asLong() * NANOS_PER_MILLI;
            return new CachedAddresses(addresses.build(), System.nanoTime() + validForNanos, false);
        } catch (JsonProcessingException | RuntimeException e) {
            throw new IllegalStateException(daemon + ": " + e.getMessage(), e);
        }
    }
}
