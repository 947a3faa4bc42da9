package io.anvilpick.routing;

import io.anvilpick.config.RequestConfig;
import io.anvilpick.time.Deadline;

/**
 * A call as the dispatcher sees it.
 *
 * @param id unique within the daemon
 * @param tenant customer on whose behalf it is made
 * @param request class of the request
 * @param deadline when the caller no longer needs the answer
 */
public record Call(long id, String tenant, RequestConfig request, Deadline deadline) {}
