package io.anvilpick.calls;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import io.anvilpick.time.Deadline;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * A caller's request, independent of the protocol by which it arrived.
 *
 * @param service the service called
 * @param tenant tenant on whose behalf the service is called
 * @param method HTTP method
 * @param path path and query as sent to the target
 * @param headers headers to forward to the target
 * @param body the complete body
 * @param idempotencyKey the idempotency key that the caller sent, if any
 * @param deadline time after which the caller no longer needs the answer
 * @param attempt zero for the first attempt; positive if this daemon or a layer in front of it has sent the request
 *     before
 */
public record CallRequest(
        String service,
        String tenant,
        String method,
        String path,
        ImmutableList<Header> headers,
        byte[] body,
        Optional<String> idempotencyKey,
        Deadline deadline,
        int attempt) {

    /** Returns a digest of the service, method, path and body, in O(body). */
    public String fingerprint() {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(service, StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(method, StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(path, StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putBytes(body)
                .hash()
                .toString();
    }

    /** Returns the path without its query. */
    public String pathWithoutQuery() {
        int query = path.indexOf('?');
        return query < 0 ? path : path.substring(0, query);
    }

    /** Returns a copy of this request with the given deadline and attempt number. */
    public CallRequest withDeadline(Deadline earlier, int nextAttempt) {
        return new CallRequest(service, tenant, method, path, headers, body, idempotencyKey, earlier, nextAttempt);
    }
}
