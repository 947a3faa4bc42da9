package io.anvilpick.entry;

import com.google.common.collect.ImmutableList;
import io.anvilpick.calls.Header;
import io.anvilpick.time.Deadline;

/**
 * A caller's request, independent of the protocol by which it arrived.
 *
 * @param id the caller's identifier of this attempt
 * @param host host that the caller requested, without a port
 * @param method HTTP method
 * @param path path and query, unchanged
 * @param headers headers to forward to the target
 * @param body the complete body
 * @param arrivedNanos monotonic time of arrival
 * @param deadline time after which the caller no longer waits
 */
public record EntryRequest(
        String id,
        String host,
        String method,
        String path,
        ImmutableList<Header> headers,
        byte[] body,
        long arrivedNanos,
        Deadline deadline) {
    /** Returns the path without its query. */
    public String pathWithoutQuery() {
        int query = path.indexOf('?');
        return query < 0 ? path : path.substring(0, query);
    }
}
