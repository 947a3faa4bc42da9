package io.anvilpick.daemon;

import java.util.List;
import java.util.stream.Stream;

/**
 * A response whose head is invalid.
 *
 * @param statusLine its first line
 * @param framing its headers that state a length or an encoding; lines end with {@code \r\n}
 * @param body what follows the head
 */
public record InvalidHead(String statusLine, String framing, String body) {
    private static final List<String> STATUS_LINES = List.of(
            "HTTP/1.1 000 No",
            "HTTP/1.1 0 No",
            "HTTP/1.1 099 No",
            "HTTP/1.1 600 No",
            "HTTP/1.1 999 No",
            "HTTP/1.1 -1 No",
            "HTTP/1.1 -200 No",
            "HTTP/1.1 +200 OK",
            "HTTP/1.1 20 OK",
            "HTTP/1.1 2000 OK",
            "HTTP/1.1 0200 OK",
            "HTTP/1.1 00000000200 OK",
            "HTTP/1.1 99999999999 OK",
            "HTTP/1.1",
            "HTTP/1.1 ",
            "HTTP/1.1     ",
            "HTTP/1.1  OK",
            "HTTP/1.1 2 0 0",
            "HTTP/1.1 20 0 OK",
            "HTTP/1.1 abc OK",
            "HTTP/1.1 2x0 OK",
            "HTTP/1.1 200OK",
            "HTTP/1.1 2e2 OK",
            "HTTP/1.1 \u00b200 OK",
            "HTTP/1.1 101 Switching Protocols",
            "HTTP/0.9 200 OK",
            "HTTP/1.2 200 OK",
            "HTTP/1 200 OK",
            "HTTP/2.0 200 OK",
            "HTTP/2 200 OK",
            "HTTP/9.9 200 OK",
            "HTTP/01.1 200 OK",
            "http/1.1 200 OK",
            "ICY/1.1 200 OK",
            "ICY 200 OK",
            "200 OK",
            "<html>an answer of HTTP 0.9</html>");

    private static final List<String> FRAMINGS = List.of(
            "content-length: 4\r\ncontent-length: 4\r\n",
            "content-length: 4\r\ncontent-length: 2\r\n",
            "content-length: 4, 4\r\n",
            "content-length: 4,2\r\n",
            "content-length: +4\r\n",
            "content-length: -4\r\n",
            "content-length:\r\n",
            "content-length:    \r\n",
            "content-length: 4 4\r\n",
            "content-length: 4x\r\n",
            "content-length: x4\r\n",
            "content-length: 0x4\r\n",
            "content-length: 4.0\r\n",
            "content-length: four\r\n",
            "content-length: 9223372036854775808\r\n",
            "content-length: 99999999999999999999\r\n",
            "content-length: 4\r\ntransfer-encoding: chunked\r\n",
            "transfer-encoding: chunked\r\ncontent-length: 4\r\n",
            "content-length: 4\r\ntransfer-encoding: gzip\r\n",
            "transfer-encoding: gzip\r\n",
            "transfer-encoding: identity\r\n",
            "transfer-encoding:\r\n",
            "transfer-encoding: gzip, chunked\r\n",
            "transfer-encoding: gzip\r\ntransfer-encoding: chunked\r\n",
            "transfer-encoding: chunked, gzip\r\n",
            "transfer-encoding: chunked, chunked\r\n",
            "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n",
            "transfer-encoding: chunkedx\r\n");

    /** Returns one response for each way in which a head may be invalid. */
    public static Stream<InvalidHead> all() {
        Stream<InvalidHead> byStatusLine = STATUS_LINES.stream()
                .map(line -> new InvalidHead(line, line.contains(" 101 ") ? "" : "content-length: 4\r\n", ""));
        Stream<InvalidHead> byFraming = FRAMINGS.stream().map(lines -> new InvalidHead("HTTP/1.1 200 OK", lines, ""));
        Stream<InvalidHead> inOldVersion = Stream.of(
                        "content-length: 4\r\ncontent-length: 4\r\n",
                        "content-length: 4\r\ncontent-length: 2\r\n",
                        "content-length: 4, 4\r\n",
                        "transfer-encoding: chunked\r\n",
                        "content-length: 4\r\ntransfer-encoding: chunked\r\n")
                .map(lines -> new InvalidHead("HTTP/1.0 200 OK", lines, ""));
        return Stream.of(byStatusLine, byFraming, inOldVersion)
                .flatMap(heads -> heads)
                .map(InvalidHead::withBody);
    }

    /** Adds a body that a lenient reader would take as complete. */
    private InvalidHead withBody() {
        boolean chunked = framing.contains("chunked");
        String text = statusLine.contains(" 101 ") ? "" : chunked ? "4\r\nbody\r\n0\r\n\r\n" : "body";
        return new InvalidHead(statusLine, framing, text);
    }

    /** Returns the bytes of the response with further {@code headers}, whose lines end with {@code \r\n}. */
    public String with(String headers) {
        return statusLine + "\r\n" + headers + framing + "\r\n" + body;
    }

    @Override
    public String toString() {
        return (statusLine + "|" + framing).replace("\r\n", "|");
    }
}
