import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** The file record.txt of a case: one line for each event, with the milliseconds since the start. Thread safe. */
final class Record implements AutoCloseable {
    /** The exit code of a program whose case has broken its rule. */
    static final int BROKEN = 10;

    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Record(Path folder) throws IOException {
        out = new PrintWriter(folder.resolve("record.txt").toFile(), StandardCharsets.UTF_8);
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void line(String format, Object... arguments) {
        out.printf("%8d %s%n", millis(), format.formatted(arguments));
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
