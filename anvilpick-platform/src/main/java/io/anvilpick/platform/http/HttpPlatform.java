package io.anvilpick.platform.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.ResponseTimeoutException;
import com.linecorp.armeria.client.UnprocessedRequestException;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.QueryParams;
import io.anvilpick.platform.Entry;
import io.anvilpick.platform.Platform;
import io.anvilpick.platform.PlatformException;
import io.anvilpick.platform.PlatformException.Effect;
import io.anvilpick.platform.Vm;
import io.anvilpick.platform.VmState;
import io.anvilpick.platform.WriteResult;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;

/** A {@link Platform} that is called over HTTP. Thread safe. */
public final class HttpPlatform implements Platform {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);
    private static final long MAX_RESPONSE_BYTES = 64L * 1024 * 1024;

    private static final JsonMapper JSON = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
            .build();

    private final WebClient client;
    private final TimeSource time;

    private HttpPlatform(WebClient client, TimeSource time) {
        this.client = client;
        this.time = time;
    }

    /**
     * Returns a client of the platform at {@code address}.
     *
     * @param address host and port, such as {@code 10.0.0.7:8080}
     * @param factory provides threads and connections; the caller closes it
     */
    public static HttpPlatform at(String address, ClientFactory factory, TimeSource time) {
        WebClient client = WebClient.builder("h1c://" + address)
                .factory(factory)
                .responseTimeout(CALL_TIMEOUT)
                .maxResponseLength(MAX_RESPONSE_BYTES)
                .build();
        return new HttpPlatform(client, time);
    }

    @Override
    public Optional<Entry> read(String key) throws PlatformException {
        AggregatedHttpResponse response = send(HttpMethod.GET, "/v1/kv?" + query("key", key), "", CALL_TIMEOUT);
        if (response.status().equals(HttpStatus.NOT_FOUND)) {
            return Optional.empty();
        }
        checkSuccess(response);
        return Optional.of(toEntry(decode(response, PlatformMessages.EntryBody.class)));
    }

    @Override
    public List<Entry> list(String prefix) throws PlatformException {
        AggregatedHttpResponse response = send(HttpMethod.GET, "/v1/list?" + query("prefix", prefix), "", CALL_TIMEOUT);
        checkSuccess(response);
        List<Entry> entries = new ArrayList<>();
        for (PlatformMessages.EntryBody body : decode(response, PlatformMessages.EntryBody[].class)) {
            entries.add(toEntry(body));
        }
        return entries;
    }

    @Override
    public Optional<Entry> awaitChange(String key, long afterRevision, Deadline deadline) throws PlatformException {
        Duration wait = deadline.remaining(time);
        String path = "/v1/watch?" + query("key", key) + "&after=" + afterRevision + "&wait_ms=" + wait.toMillis();
        AggregatedHttpResponse response = send(HttpMethod.GET, path, "", wait.plus(CALL_TIMEOUT));
        if (response.status().equals(HttpStatus.NO_CONTENT)) {
            return Optional.empty();
        }
        checkSuccess(response);
        return Optional.of(toEntry(decode(response, PlatformMessages.EntryBody.class)));
    }

    @Override
    public WriteResult compareAndSet(String key, long expectedRevision, String value, long lease)
            throws PlatformException {
        String path = "/v1/kv?" + query("key", key) + "&expect=" + expectedRevision + "&lease=" + lease;
        AggregatedHttpResponse response = send(HttpMethod.PUT, path, value, CALL_TIMEOUT);
        if (response.status().equals(HttpStatus.CONFLICT)) {
            return new WriteResult.Conflict(
                    decode(response, PlatformMessages.RevisionBody.class).revision());
        }
        checkSuccess(response);
        return new WriteResult.Written(
                decode(response, PlatformMessages.RevisionBody.class).revision());
    }

    @Override
    public long grantLease(long ttlMillis) throws PlatformException {
        AggregatedHttpResponse response = send(HttpMethod.POST, "/v1/leases?ttl_ms=" + ttlMillis, "", CALL_TIMEOUT);
        checkSuccess(response);
        return decode(response, PlatformMessages.LeaseBody.class).lease();
    }

    @Override
    public boolean renewLease(long lease) throws PlatformException {
        AggregatedHttpResponse response = send(HttpMethod.POST, "/v1/leases/renew?lease=" + lease, "", CALL_TIMEOUT);
        if (response.status().equals(HttpStatus.NOT_FOUND)) {
            return false;
        }
        checkSuccess(response);
        return true;
    }

    @Override
    public List<Vm> vms() throws PlatformException {
        AggregatedHttpResponse response = send(HttpMethod.GET, "/v1/vms", "", CALL_TIMEOUT);
        checkSuccess(response);
        List<Vm> vms = new ArrayList<>();
        for (PlatformMessages.VmBody body : decode(response, PlatformMessages.VmBody[].class)) {
            vms.add(new Vm(body.address(), body.state().equals("leaving") ? VmState.LEAVING : VmState.LIVE));
        }
        return vms;
    }

    private AggregatedHttpResponse send(HttpMethod method, String path, String body, Duration timeout)
            throws PlatformException {
        try {
            return client.prepare()
                    .method(method)
                    .path(path)
                    .content(MediaType.PLAIN_TEXT_UTF_8, body)
                    .responseTimeout(timeout)
                    .execute()
                    .aggregate()
                    .join();
        } catch (CompletionException e) {
            throw failure(path, e.getCause() == null ? e : e.getCause());
        }
    }

    private static PlatformException failure(String path, Throwable cause) {
        if (cause instanceof UnprocessedRequestException) {
            return new PlatformException(Effect.NONE, "platform: cannot connect");
        }
        String problem =
                cause instanceof ResponseTimeoutException ? "timed out waiting for a response" : "connection lost";
        return new PlatformException(Effect.UNKNOWN, "platform: " + problem + " for " + path.replaceAll("\\?.*", ""));
    }

    private static void checkSuccess(AggregatedHttpResponse response) throws PlatformException {
        if (response.status().isSuccess()) {
            return;
        }
        boolean rejected = response.status().equals(HttpStatus.TOO_MANY_REQUESTS)
                || response.status().equals(HttpStatus.SERVICE_UNAVAILABLE)
                || response.status().isClientError();
        throw new PlatformException(
                rejected ? Effect.NONE : Effect.UNKNOWN, "platform: responded with status " + response.status());
    }

    private static <T> T decode(AggregatedHttpResponse response, Class<T> type) throws PlatformException {
        try {
            return JSON.readValue(response.contentUtf8(), type);
        } catch (JsonProcessingException e) {
            throw new PlatformException(Effect.UNKNOWN, "platform: response cannot be read: " + e.getOriginalMessage());
        }
    }

    private static Entry toEntry(PlatformMessages.EntryBody body) {
        return new Entry(body.key(), body.value(), body.revision());
    }

    private static String query(String name, String value) {
        return QueryParams.of(name, value).toQueryString();
    }
}
