package io.anvilpick.daemon.frontend;

import com.linecorp.armeria.common.ResponseHeadersBuilder;

/** Holds whether this daemon is leaving, and asks callers to close their connections once it is. Thread safe. */
final class LeavingState {
    private volatile boolean leaving;

    void leave() {
        leaving = true;
    }

    boolean isLeaving() {
        return leaving;
    }

    /**
     * Adds a header that closes the connection if this daemon is leaving. HTTP/1 callers receive the header, HTTP/2
     * callers a GOAWAY frame instead.
     */
    void addCloseHeaderIfLeaving(ResponseHeadersBuilder headers) {
        if (leaving) {
            headers.set("connection", "close");
        }
    }
}
