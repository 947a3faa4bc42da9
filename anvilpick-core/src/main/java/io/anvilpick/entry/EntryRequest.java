package io.anvilpick.entry;

import com.google.common.collect.ImmutableList;
import io.anvilpick.calls.Header;
import io.anvilpick.tenants.Credential;
import io.anvilpick.time.Deadline;
import java.util.Optional;

/**
 * A caller's request, independent of the protocol by which it arrived.
 *
 * @param id the caller's identifier of this attempt
 * @param host host that the caller requested, without a port
 * @param method HTTP method
 * @param path path and query, unchanged
 * @param headers headers to forward to the target, without the API key
 * @param body the complete body
 * @param arrivedNanos monotonic time of arrival
 * @param deadline time after which the caller no longer waits
 * @param credential the caller's API key; empty if it sent none
 */
public record EntryRequest(
        String id,
        String host,
        String method,
        String path,
        ImmutableList<Header> headers,
        byte[] body,
        long arrivedNanos,
        Deadline deadline,
        Optional<Credential> credential) {
    /** Creates a request without an API key. */
    public EntryRequest(
            String id,
            String host,
            String method,
            String path,
            ImmutableList<Header> headers,
            byte[] body,
            long arrivedNanos,
            Deadline deadline) {
        this(id, host, method, path, headers, body, arrivedNanos, deadline, Optional.empty());
    }

    /** Returns the path without its query. */
    public String pathWithoutQuery() {
        int query = path.indexOf('?');
        return query < 0 ? path : path.substring(0, query);
    }
}
