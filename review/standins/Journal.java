package review;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to a file, with milliseconds since the start. Thread safe. */
final class Journal implements AutoCloseable {
    private final PrintStream out;
    private final long startNanos = System.nanoTime();

    Journal(Path file) throws IOException {
        out = new PrintStream(Files.newOutputStream(file), false);
    }

    synchronized void add(String format, Object... values) {
        out.printf("%7d %s%n", (System.nanoTime() - startNanos) / 1_000_000, format.formatted(values));
    }

    /** Writes a line to the file and to standard output. */
    void say(String format, Object... values) {
        add(format, values);
        System.out.println(format.formatted(values));
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
