package io.anvilpick.entry;

import io.anvilpick.error.ErrorKind;

/** A listener that counts requests by outcome. Implementations are thread safe and do not block. */
public interface EntryCounts {
    /** Stands for the route of a request that matches none. */
    String NO_ROUTE = "none";

    /** Called when a target has answered a request of {@code route} with {@code status} after {@code nanos}. */
    void answered(String route, int status, long nanos);

    /** Called when a request of {@code route} has ended without an answer of a target. */
    void failed(String route, ErrorKind kind);

    /** Called when a caller has disconnected before its request of {@code route} was answered. */
    void abandoned(String route);

    /** Called when a request for {@code service} is sent again after a failure. */
    void retried(String service);

    /** Called when a request for {@code service} is sent to another target because the first is late. */
    void hedged(String service);
}
