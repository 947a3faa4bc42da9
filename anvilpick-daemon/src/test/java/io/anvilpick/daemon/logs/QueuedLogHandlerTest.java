package io.anvilpick.daemon.logs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class QueuedLogHandlerTest {
    private static final int QUEUED = 8;

    /** An output stream that blocks until it is opened. */
    private static final class BlockedOutput extends OutputStream {
        private final CountDownLatch open = new CountDownLatch(1);
        private final CountDownLatch dropReported = new CountDownLatch(1);
        private final ByteArrayOutputStream written = new ByteArrayOutputStream();

        @Override
        public void write(int oneByte) {
            throw new AssertionError("lines must be written in one call");
        }

        @Override
        public void write(byte[] bytes, int offset, int length) {
            try {
                open.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            written.write(bytes, offset, length);
            if (text().contains("event=lines_dropped")) {
                dropReported.countDown();
            }
        }

        private String text() {
            return written.toString(StandardCharsets.UTF_8);
        }
    }

    @Test
    void publishDoesNotBlockOnBlockedOutputAndDroppedLinesAreCounted() throws Exception {
        BlockedOutput out = new BlockedOutput();
        QueuedLogHandler handler = new QueuedLogHandler(out, QUEUED);
        for (int i = 0; i < QUEUED + 100; i++) {
            handler.publish(new LogRecord(Level.INFO, "event=flood"));
        }
        assertEquals(100, handler.dropped());
        handler.start();
        out.open.countDown();
        out.dropReported.await();
        assertTrue(out.text().contains("event=lines_dropped count=100"), out.text());
        assertEquals(
                QUEUED,
                out.text().lines().filter(line -> line.contains("event=flood")).count());
    }

    @Test
    void recordWithStackTraceIsWrittenAsOneLine() {
        LogRecord record = new LogRecord(Level.SEVERE, "event=fault a\nb");
        record.setThrown(new IllegalStateException("broken"));
        StringBuilder text = new StringBuilder();
        LogLine.append(text, record);
        assertEquals(1, text.toString().lines().count());
        assertTrue(text.toString()
                .contains("level=ERROR event=fault a b thrown=\"java.lang.IllegalStateException: broken"));
    }
}
