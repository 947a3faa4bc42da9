package io.anvilpick.daemon.http;

import java.util.List;
import java.util.Optional;

/**
 * The rules that decide whether the head of a response is valid. They read its words as they arrived, because a converted status
 * or length no longer shows a sign, a missing digit or a second value. Thread safe.
 */
public final class ResponseHeadRules {
    /** The version in which a response may be chunked. */
    private static final String CHUNKED_VERSION = "HTTP/1.1";

    private static final String OLD_VERSION = "HTTP/1.0";
    private static final String CHUNKED = "chunked";
    private static final String SWITCHING_PROTOCOLS = "101";
    private static final int STATUS_DIGITS = 3;
    private static final char FIRST_STATUS_CLASS = '1';
    private static final char LAST_STATUS_CLASS = '5';
    private static final int MIN_FINAL_STATUS = 200;
    private static final int MAX_FINAL_STATUS = 599;

    private ResponseHeadRules() {}

    /** Returns whether a response with the status {@code code} may be the final one, for clients that show only a number. */
    public static boolean isFinalStatus(int code) {
        return code >= MIN_FINAL_STATUS && code <= MAX_FINAL_STATUS;
    }

    /** Returns what is invalid in a status line; empty if nothing is. No request asks for another protocol with status 101. */
    static Optional<InvalidPart> checkStatusLine(String version, String status) {
        if (!version.equals(CHUNKED_VERSION) && !version.equals(OLD_VERSION)) {
            return Optional.of(InvalidPart.VERSION);
        }
        boolean isValid = status.length() == STATUS_DIGITS
                && status.chars().allMatch(ResponseHeadRules::isDigit)
                && status.charAt(0) >= FIRST_STATUS_CLASS
                && status.charAt(0) <= LAST_STATUS_CLASS
                && !status.equals(SWITCHING_PROTOCOLS);
        return isValid ? Optional.empty() : Optional.of(InvalidPart.STATUS);
    }

    /**
     * Returns what is invalid in the headers that state the end of the body; empty if nothing is. The value of a single length is not
     * checked.
     *
     * @param version a valid version
     * @param lengths the number of headers that state a length
     * @param encodings the values of the headers that state a transfer encoding
     */
    static Optional<InvalidPart> checkFraming(String version, int lengths, List<String> encodings) {
        if (lengths > 1) {
            return Optional.of(InvalidPart.CONTENT_LENGTH);
        }
        if (encodings.isEmpty()) {
            return Optional.empty();
        }
        boolean isValid = lengths == 0
                && version.equals(CHUNKED_VERSION)
                && encodings.size() == 1
                && encodings.getFirst().strip().equalsIgnoreCase(CHUNKED);
        return isValid ? Optional.empty() : Optional.of(InvalidPart.TRANSFER_ENCODING);
    }

    private static boolean isDigit(int character) {
        return character >= '0' && character <= '9';
    }
}
