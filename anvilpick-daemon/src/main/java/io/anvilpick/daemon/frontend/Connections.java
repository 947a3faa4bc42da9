package io.anvilpick.daemon.frontend;

import com.linecorp.armeria.common.ResponseHeadersBuilder;

/** Asks callers to connect elsewhere once this daemon is leaving. Thread safe. */
final class Connections {
    private volatile boolean leaving;

    void leave() {
        leaving = true;
    }

    boolean isLeaving() {
        return leaving;
    }

    /** HTTP/1 callers see the header; HTTP/2 callers get a GOAWAY in its place. */
    void closeIfLeaving(ResponseHeadersBuilder headers) {
        if (leaving) {
            headers.set("connection", "close");
        }
    }
}
