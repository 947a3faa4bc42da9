package io.anvilpick.calls;

import com.google.common.collect.ImmutableList;

/**
 * A target's whole answer.
 *
 * @param status HTTP status
 * @param headers headers to pass on
 * @param body the whole body
 * @param replayed whether it is the kept answer of an earlier call with the same idempotency key
 */
public record CallAnswer(int status, ImmutableList<Header> headers, byte[] body, boolean replayed) {
    private static final int FIRST_SERVER_ERROR = 500;

    /** Returns whether the status is that of a server error. */
    public boolean isServerError() {
        return status >= FIRST_SERVER_ERROR;
    }

    /** Returns the media type; empty if the target named none. */
    public String contentType() {
        for (Header header : headers) {
            if (header.name().equals("content-type")) {
                return header.value();
            }
        }
        return "";
    }
}
