package io.anvilpick.daemon.http;

import io.anvilpick.time.Deadline;

/**
 * A request to a server.
 *
 * @param method the HTTP method
 * @param pathAndQuery the path with its query, as it is sent
 * @param body the body, in JSON; empty for none
 * @param deadline the time by which the complete response must have arrived
 */
public record ServerCall(String method, String pathAndQuery, byte[] body, Deadline deadline) {}
