package io.anvilpick.calls;

import com.google.common.collect.ImmutableList;

/**
 * A complete answer of a target.
 *
 * @param status HTTP status
 * @param headers headers to forward to the caller
 * @param body the complete body
 * @param replayed whether this is the stored answer to an earlier call with the same idempotency key
 */
public record CallAnswer(int status, ImmutableList<Header> headers, byte[] body, boolean replayed) {
    private static final int FIRST_SERVER_ERROR = 500;

    /** Returns whether the status denotes a server error. */
    public boolean isServerError() {
        return status >= FIRST_SERVER_ERROR;
    }

    /** Returns the value of the {@code content-type} header, or the empty string if there is none. */
    public String contentType() {
        for (Header header : headers) {
            if (header.name().equals("content-type")) {
                return header.value();
            }
        }
        return "";
    }
}
