import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 over blocking sockets: a server with one virtual thread for each connection, and a client. */
final class Http {
    private Http() {}

    /** A request or a response as it was read. Header names are in lower case; {@code first} is the first line. */
    record Message(String first, Map<String, String> headers, byte[] body) {
        String word(int index) {
            return first.split(" ", 3)[index];
        }

        int status() {
            return Integer.parseInt(word(1));
        }

        String path() {
            return word(1).split("\\?", 2)[0];
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        /** Returns the parameters of the query. */
        Map<String, String> query() {
            Map<String, String> query = new LinkedHashMap<>();
            String[] parts = word(1).split("\\?", 2);
            if (parts.length == 2) {
                for (String pair : parts[1].split("&")) {
                    String[] words = pair.split("=", 2);
                    query.put(words[0], URLDecoder.decode(words.length > 1 ? words[1] : "", StandardCharsets.UTF_8));
                }
            }
            return query;
        }
    }

    /** Answers one request. It writes the response itself; if it throws an {@link IOException}, the connection is closed. */
    interface Handler {
        void handle(Message request, Socket socket) throws IOException, InterruptedException;
    }

    /** A server on a loopback address. */
    static final class Server {
        private final ServerSocket listener;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();

        Server(InetSocketAddress address, Handler handler) throws IOException {
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(address, 500);
            Thread.ofVirtual().start(() -> {
                while (!listener.isClosed()) {
                    try {
                        Socket socket = listener.accept();
                        socket.setTcpNoDelay(true);
                        open.add(socket);
                        Thread.ofVirtual().start(() -> serve(socket, handler));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        private void serve(Socket socket, Handler handler) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    Message request = read(in, false);
                    if (request == null) {
                        return;
                    }
                    handler.handle(request, socket);
                }
            } catch (IOException | InterruptedException e) {
                // The connection ends.
            } finally {
                open.remove(socket);
            }
        }

        int port() {
            return listener.getLocalPort();
        }

        /** Stops listening and resets all connections, as the kernel does for a process that is killed. */
        void kill() throws IOException {
            listener.close();
            for (Socket socket : open) {
                try {
                    socket.setSoLinger(true, 0);
                    socket.close();
                } catch (IOException e) {
                    // It is closed already.
                }
            }
        }
    }

    static void respond(Socket socket, int status, Map<String, String> headers, byte[] body) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        socket.getOutputStream().write(out.toByteArray());
        socket.getOutputStream().flush();
    }

    /** Sends one request on a new connection and returns the response; null if the connection ended without one. */
    static Message call(
            InetSocketAddress address, String method, String path, Map<String, String> headers, byte[] body, int timeoutMs) {
        try (Socket socket = new Socket()) {
            socket.connect(address, 1_000);
            socket.setSoTimeout(timeoutMs);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Connection: close\r\n");
            if (body.length > 0 || method.equals("POST")) {
                head.append("Content-Length: ").append(body.length).append("\r\n");
            }
            head.append("\r\n");
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            socket.getOutputStream().write(out.toByteArray());
            socket.getOutputStream().flush();
            return read(new BufferedInputStream(socket.getInputStream()), true);
        } catch (IOException e) {
            return null;
        }
    }

    /** Reads a message; null if the connection ends before its first byte. */
    static Message read(InputStream in, boolean response) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            for (int size = Integer.parseInt(line(in), 16); size > 0; size = Integer.parseInt(line(in), 16)) {
                body.write(exactly(in, size));
                line(in);
            }
            line(in);
        } else if (headers.containsKey("content-length")) {
            body.write(exactly(in, Integer.parseInt(headers.get("content-length"))));
        } else if (response) {
            in.transferTo(body);
        }
        return new Message(first, headers, body.toByteArray());
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new IOException("cut");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
            }
            line.write(b);
        }
        if (line.size() > 0) {
            throw new IOException("cut");
        }
        return null;
    }
}
