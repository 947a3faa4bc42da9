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

/** Asks daemons which address to use for a service, and keeps the answer as long as it is good. Thread safe. */
final class AddressBook {
    private static final Duration ASK_TIMEOUT = Duration.ofSeconds(1);
    private static final int NANOS_PER_MILLI = 1_000_000;
    private static final int MOST_TRIES = 6;

    private final WebClient client;
    private final ImmutableList<String> daemons;
    private final String zone;
    private final boolean direct;
    private final JsonMapper json = new JsonMapper();
    private final Map<String, Kept> kept = new ConcurrentHashMap<>();

    /** An answer with the reading of the monotonic clock until which it is good. */
    private record Kept(ImmutableList<String> addresses, long untilNanos, boolean asking) {}

    AddressBook(WebClient client, LoadSettings settings) {
        this.client = client;
        this.daemons = settings.daemons();
        this.zone = settings.zone();
        this.direct = settings.direct();
    }

    /** Returns the address for {@code service} and its fallbacks, blocking only at the first call. */
    List<String> addresses(String service) {
        if (direct) {
            return List.of(daemons.get(ThreadLocalRandom.current().nextInt(daemons.size())));
        }
        Kept present = kept.get(service);
        if (present == null) {
            return ask(service).addresses();
        }
        if (System.nanoTime() - present.untilNanos() >= 0 && !present.asking()) {
            kept.put(service, new Kept(present.addresses(), present.untilNanos(), true));
            Thread.ofVirtual().start(() -> ask(service));
        }
        return present.addresses();
    }

    private Kept ask(String service) {
        List<String> tried = new ArrayList<>();
        for (int attempt = 0; attempt < MOST_TRIES; attempt++) {
            String daemon = daemons.get(ThreadLocalRandom.current().nextInt(daemons.size()));
            try {
                Kept answer = askOne(daemon, service);
                kept.put(service, answer);
                return answer;
            } catch (IllegalStateException e) {
                tried.add(e.getMessage());
            }
        }
        Kept last = kept.get(service);
        if (last == null) {
            throw new IllegalStateException("no daemon gave an address for " + service + ": " + tried);
        }
        kept.put(service, new Kept(last.addresses(), System.nanoTime(), false));
        return last;
    }

    private Kept askOne(String daemon, String service) {
        String path = "http://" + daemon + "/anvilpick/v1/address?service=" + service + "&zone=" + zone;
        try {
            AggregatedHttpResponse answer = client.prepare()
                    .get(path)
                    .responseTimeout(ASK_TIMEOUT)
                    .execute()
                    .aggregate()
                    .join();
            if (!answer.status().equals(HttpStatus.OK)) {
                throw new IllegalStateException(daemon + " answered " + answer.status());
            }
            JsonNode body = json.readTree(answer.contentUtf8());
            ImmutableList.Builder<String> addresses = ImmutableList.builder();
            addresses.add(body.path("address").asText());
            body.path("fallbacks").forEach(each -> addresses.add(each.asText()));
            long goodForNanos = body.path("goodForMillis").asLong() * NANOS_PER_MILLI;
            return new Kept(addresses.build(), System.nanoTime() + goodForNanos, false);
        } catch (JsonProcessingException | RuntimeException e) {
            throw new IllegalStateException(daemon + ": " + e.getMessage(), e);
        }
    }
}
