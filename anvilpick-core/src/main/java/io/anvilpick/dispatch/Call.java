package io.anvilpick.dispatch;

import io.anvilpick.config.RequestConfig;
import io.anvilpick.time.Deadline;

/**
 * A call as the dispatcher sees it.
 *
 * @param id unique within the daemon
 * @param tenant customer on whose behalf it is made
 * @param request class of the request
 * @param deadline when the caller no longer needs the answer
 * @param goal when the answer should be there; the deadline where no earlier goal is set
 */
public record Call(long id, String tenant, RequestConfig request, Deadline deadline, Deadline goal) {
    /** Creates a call without a goal of its own. */
    public Call(long id, String tenant, RequestConfig request, Deadline deadline) {
        this(id, tenant, request, deadline, deadline);
    }
}
