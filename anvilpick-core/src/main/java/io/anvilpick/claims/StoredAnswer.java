package io.anvilpick.claims;

/**
 * The answer to a call that ran, kept for callers who send it again.
 *
 * @param status HTTP status
 * @param contentType media type; empty if the target named none
 * @param body the whole body
 */
public record StoredAnswer(int status, String contentType, byte[] body) {}
