package io.anvilpick.calls;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import io.anvilpick.time.Deadline;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * A caller's request, apart from the protocol it came by.
 *
 * @param service the service called
 * @param tenant customer on whose behalf it is called
 * @param method HTTP method
 * @param path path and query as the target is to see them
 * @param headers headers to pass on
 * @param body the whole body
 * @param idempotencyKey the key that the caller sent, if any
 * @param deadline when the caller no longer needs the answer
 * @param attempt zero for a first attempt; more where a layer before this one sends it again
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

    /** Returns a digest of what the target would see, in O(body). */
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

    /** Returns the path without the query. */
    public String pathWithoutQuery() {
        int query = path.indexOf('?');
        return query < 0 ? path : path.substring(0, query);
    }

    /** Returns this request with an earlier deadline and as the given attempt. */
    public CallRequest withDeadline(Deadline earlier, int nextAttempt) {
        return new CallRequest(service, tenant, method, path, headers, body, idempotencyKey, earlier, nextAttempt);
    }
}
