package review;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;

/** One connection of a client, which carries one request at a time. */
final class Caller implements AutoCloseable {
    private final Socket socket = new Socket();
    private final InputStream in;

    Caller(int port) throws IOException {
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends a request and returns its answer, or throws after {@code timeoutMillis} without a byte. */
    Http.Message send(String startLine, Map<String, String> headers, byte[] body, int timeoutMillis)
            throws IOException {
        socket.setSoTimeout(timeoutMillis);
        Http.write(socket.getOutputStream(), Http.message(startLine, headers, body));
        Http.Message answer = Http.read(in, true);
        if (answer == null) {
            throw new EOFException("closed without an answer");
        }
        return answer;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
