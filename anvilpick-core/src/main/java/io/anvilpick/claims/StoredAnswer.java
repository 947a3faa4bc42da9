package io.anvilpick.claims;

/**
 * The answer to a call that ran, stored to be replayed when a caller resends the call.
 *
 * @param status HTTP status code
 * @param contentType media type; empty if the target sent none
 * @param body the complete body
 */
public record StoredAnswer(int status, String contentType, byte[] body) {}
