package io.anvilpick.daemon.logs;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * A log handler with a bounded queue, from which one thread writes a line for each record. Thread safe; publishing
 * never blocks.
 *
 * <p>Records published while the queue is full are dropped and counted. The count is written with the next batch of
 * lines.
 */
public final class QueuedLogHandler extends Handler {
    private static final int MAX_QUEUED = 4_096;
    private static final int BATCH = 256;

    private final BlockingQueue<LogRecord> queue;
    private final AtomicLong dropped = new AtomicLong();
    private final OutputStream out;

    /** Creates a handler that only queues records until {@link #start}. */
    public QueuedLogHandler(OutputStream out) {
        this(out, MAX_QUEUED);
    }

    QueuedLogHandler(OutputStream out, int maxQueued) {
        this.out = out;
        this.queue = new ArrayBlockingQueue<>(maxQueued);
    }

    /**
     * Starts a handler that writes to {@code out} and makes it the only handler of the root logger. Records of
     * libraries are logged from {@code minLibraryLevel}, those of this project from {@code minLevel}.
     */
    public static QueuedLogHandler install(OutputStream out, Level minLevel, Level minLibraryLevel) {
        QueuedLogHandler handler = new QueuedLogHandler(out);
        handler.start();
        Logger root = Logger.getLogger("");
        for (Handler other : root.getHandlers()) {
            root.removeHandler(other);
        }
        root.setLevel(minLibraryLevel);
        root.addHandler(handler);
        Logger.getLogger("io.anvilpick").setLevel(minLevel);
        return handler;
    }

    /** Starts the writer thread. */
    public void start() {
        Thread.ofPlatform().daemon().name("log-writer").start(this::drain);
    }

    /** Returns the number of dropped lines that have not been reported in the log yet. */
    public long dropped() {
        return dropped.get();
    }

    @Override
    public void publish(LogRecord record) {
        if (isLoggable(record) && !queue.offer(record)) {
            dropped.incrementAndGet();
        }
    }

    private void drain() {
        try {
            List<LogRecord> batch = new ArrayList<>(BATCH);
            while (true) {
                batch.add(queue.take());
                queue.drainTo(batch, BATCH - 1);
                writeOrDrop(batch);
                batch.clear();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            // The output is closed, so the failure cannot be logged. Later lines stay in the queue, and once it is full
            // they are dropped and counted.
            dropped.incrementAndGet();
        }
    }

    /** Writes the lines of a batch, or counts them as dropped if they cannot be formatted, for example for lack of memory. */
    private void writeOrDrop(List<LogRecord> batch) throws IOException {
        try {
            write(batch);
        } catch (RuntimeException | Error e) {
            dropped.addAndGet(batch.size());
        }
    }

    private void write(List<LogRecord> batch) throws IOException {
        StringBuilder text = new StringBuilder();
        for (LogRecord record : batch) {
            LogLine.append(text, record);
        }
        long droppedCount = dropped.getAndSet(0);
        if (droppedCount > 0) {
            text.append("level=WARN event=lines_dropped count=")
                    .append(droppedCount)
                    .append('\n');
        }
        out.write(text.toString().getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /** Blocks until the writer thread has taken all queued records, for at most a tenth of a second. */
    @Override
    public void flush() {
        for (int i = 0; i < 10 && !queue.isEmpty(); i++) {
            try {
                Thread.sleep(10);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    @Override
    public void close() {
        flush();
    }
}
