package io.anvilpick.load;

import java.util.List;
import java.util.Optional;

/**
 * Calls of one kind at a steady rate.
 *
 * @param service the service called
 * @param method HTTP method
 * @param path path without the number that is appended to each call
 * @param perSecond calls started each second
 * @param tenant customer on whose behalf they are made
 */
record CallStream(String service, String method, String path, double perSecond, String tenant) {
    private static final int FIELDS = 5;

    /** Returns the stream that {@code text} stands for: service,method,path,calls per second,tenant. */
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

    /** Returns whether calls of this stream must not run twice. */
    boolean isWrite() {
        return !method.equals("GET");
    }

    /** Returns the name of the stream in the report. */
    String label() {
        return service + " " + method + " " + path + " " + tenant;
    }
}
