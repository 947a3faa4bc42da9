package io.anvilpick.daemon.http;

/** The part of the head of a response that makes the response invalid. */
enum InvalidPart {
    /** The version of HTTP is not supported. */
    VERSION("version"),

    /** The status is none that an answer or an interim answer may have. */
    STATUS("status"),

    /** The length is stated more than once. */
    CONTENT_LENGTH("content_length"),

    /** The transfer encoding is unknown, or stated beside a length. */
    TRANSFER_ENCODING("transfer_encoding");

    private final String label;

    InvalidPart(String label) {
        this.label = label;
    }

    /** Returns the name for log lines. */
    String label() {
        return label;
    }
}
