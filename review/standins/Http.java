package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages over blocking streams. */
final class Http {
    private static final int MAX_HEAD_BYTES = 64 * 1024;

    private Http() {}

    /** A request or a response. The names of headers are in lower case. */
    record Message(String startLine, Map<String, String> headers, byte[] body) {
        String method() {
            return startLine.split(" ")[0];
        }

        String path() {
            return startLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads one message; null if the peer has closed the connection before its first byte. */
    static Message read(InputStream in, boolean isResponse) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            int next = in.read();
            if (next < 0) {
                if (head.size() == 0) {
                    return null;
                }
                throw new EOFException("the message ended in its head");
            }
            head.write(next);
            matched = next == (matched % 2 == 0 ? '\r' : '\n') ? matched + 1 : next == '\r' ? 1 : 0;
            if (head.size() > MAX_HEAD_BYTES) {
                throw new IOException("the head is too large");
            }
        }
        String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        Map<String, String> headers = new LinkedHashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            headers.put(
                    lines[i].substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    lines[i].substring(colon + 1).trim());
        }
        return new Message(lines[0], headers, body(in, headers, isResponse));
    }

    private static byte[] body(InputStream in, Map<String, String> headers, boolean isResponse) throws IOException {
        if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
            return chunks(in);
        }
        String length = headers.get("content-length");
        if (length != null) {
            byte[] body = in.readNBytes(Integer.parseInt(length));
            if (body.length < Integer.parseInt(length)) {
                throw new EOFException("the message ended in its body");
            }
            return body;
        }
        return isResponse ? in.readAllBytes() : new byte[0];
    }

    private static byte[] chunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int size = Integer.parseInt(line(in).split(";")[0].trim(), 16);
            body.write(in.readNBytes(size));
            line(in);
            if (size == 0) {
                return body.toByteArray();
            }
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException("the message ended in a line");
            }
            if (next == '\n') {
                return line.toString().trim();
            }
            line.append((char) next);
        }
    }

    /** Returns a message with a body of known length. */
    static byte[] message(String startLine, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder(startLine).append("\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        byte[] headBytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] message = new byte[headBytes.length + body.length];
        System.arraycopy(headBytes, 0, message, 0, headBytes.length);
        System.arraycopy(body, 0, message, headBytes.length, body.length);
        return message;
    }

    static void write(OutputStream out, byte[] message) throws IOException {
        out.write(message);
        out.flush();
    }
}
