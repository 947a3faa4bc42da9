package io.anvilpick.dispatch;

import io.anvilpick.config.RequestConfig;
import io.anvilpick.time.Deadline;

/**
 * The properties of a call on which dispatching depends.
 *
 * @param id the identifier, unique within the daemon
 * @param tenant the tenant on whose behalf the call is made
 * @param request the request class
 * @param deadline the time after which the caller no longer needs the answer
 * @param goal the time by which the answer should arrive; equal to the deadline if no earlier goal is set
 */
public record Call(long id, String tenant, RequestConfig request, Deadline deadline, Deadline goal) {
    /** Creates a call whose goal is its deadline. */
    public Call(long id, String tenant, RequestConfig request, Deadline deadline) {
        this(id, tenant, request, deadline, deadline);
    }
}
