package io.anvilpick.load;

import java.util.List;
import java.util.Optional;

/**
 * Calls of one kind, started at a constant mean rate.
 *
 * @param service name of the called service
 * @param method HTTP method
 * @param path path of the calls; the number of each call is appended to it
 * @param perSecond calls started per second
 * @param tenant tenant on whose behalf the calls are made
 */
record CallStream(String service, String method, String path, double perSecond, String tenant) {
    private static final int FIELDS = 5;

    /** Parses a stream from {@code service,method,path,calls per second,tenant}. Returns empty if the text is invalid. */
    static Optional<CallStream> parse(String text) {
        List<String> fields = List.of(text.split(",", -1));
        if (fields.size() != FIELDS) {
            return Optional.empty();
        }
        try {
            double perSecond = Double.parseDouble(fields.get(3));
            boolean usable =
                    perSecond > 0 && Double.isFinite(perSecond) && fields.get(2).startsWith("/");
            return usable
                    ? Optional.of(new CallStream(fields.get(0), fields.get(1), fields.get(2), perSecond, fields.get(4)))
                    : Optional.empty();
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    /** Returns whether calls of this stream must not be executed twice. */
    boolean isWrite() {
        return !method.equals("GET");
    }

    /** Returns the name of this stream in the report. */
    String label() {
        return service + " " + method + " " + path + " " + tenant;
    }
}
